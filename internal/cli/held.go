package cli

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/quarantine"
	"github.com/shedrock/shedrock/internal/transport/controlclient"
)

type heldCommand struct {
	Control []string      `help:"IP:PORT of each replica of the control log." default:"127.0.0.1:7071"`
	Release string        `help:"Send what this digest identifies again, from now on." placeholder:"DIGEST"`
	Model   string        `help:"With --part: the model of the prompts."`
	Part    string        `help:"Only the part of prompts with this id."`
	Team    string        `help:"With --part: the team, if it shares no parts with others."`
	Timeout time.Duration `help:"How long to try." default:"20s"`
}

// Run lists what is held, or releases one digest.
func (c heldCommand) Run(p *process) error {
	err := checkAddresses("control", c.Control)
	if err != nil {
		return err
	}
	if (c.Part == "") != (c.Model == "") {
		return usage("--part and --model are needed together")
	}
	ctx, cancel := context.WithTimeout(p.ctx, c.Timeout)
	defer cancel()
	client := controlclient.New(controlclient.StaticAddresses(c.Control))
	if c.Release != "" {
		return c.release(ctx, p, client)
	}
	facts, answered, err := client.Facts(ctx)
	if answered == 0 {
		return unanswered(err)
	}
	now := clock.Now()
	held := facts.Held(1, now)
	if c.Part != "" {
		only := quarantine.PartDigestOf(c.Team, c.Model, c.Part)
		held = slices.DeleteFunc(held, func(s quarantine.RequestStatus) bool { return s.Digest != only })
	}
	for _, s := range held {
		fmt.Fprintln(p.out, describeHeld(s, facts.Ends(s.Digest), now))
	}
	fmt.Fprintf(p.out, "%d held, by what %d of %d replicas know\n", len(held), answered, len(c.Control))
	return nil
}

// unanswered returns the failure of a command that no replica took.
func unanswered(err error) error {
	if errors.Is(err, controlclient.ErrNoFacts) {
		return failure{exitFailed, err}
	}
	return failure{exitFailed, errors.Wrap(err, "no replica of the control log answers")}
}

// describeHeld describes what is held: since when, until when, and by which ends of instances.
func describeHeld(s quarantine.RequestStatus, ends []quarantine.InstanceEnded, now time.Time) string {
	var instances []string
	for _, e := range ends {
		instances = append(instances, fmt.Sprintf("%s %s ago", e.Incarnation.ID, now.Sub(e.At).Round(time.Second)))
	}
	until := "it may be tried again"
	if left := s.Until.Sub(now); left > 0 {
		until = "it may be tried again in " + left.Round(time.Second).String()
	}
	return fmt.Sprintf("%s: %d instances ended, the last %s ago; %s (%s)", s.Digest, s.Ends, now.Sub(s.LastEnd).Round(time.Second), until, strings.Join(instances, ", "))
}

func (c heldCommand) release(ctx context.Context, p *process, client *controlclient.Client) error {
	d, err := quarantine.ParseDigest(c.Release)
	if err != nil {
		return usage("--release: %s", err)
	}
	taken, err := client.Release(ctx, d)
	if taken == 0 {
		return unanswered(err)
	}
	fmt.Fprintf(p.out, "%s: released at %d of %d replicas\n", d, taken, len(c.Control))
	return nil
}
