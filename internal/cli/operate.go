package cli

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/declared"
	"github.com/shedrock/shedrock/internal/transport/controlclient"
)

type checkCommand struct {
	Files []string `arg:"" help:"Declared files." type:"path"`
}

// Run checks each file by itself, and all of them as one declared state.
func (c checkCommand) Run(p *process) error {
	state := declared.New()
	var docs []*declared.Document
	faults := 0
	for _, file := range c.Files {
		text, err := os.ReadFile(file)
		if err != nil {
			return failure{exitFailed, err}
		}
		d, found := declared.Parse(file, text)
		faults += report(p, found)
		if d != nil {
			docs = append(docs, d)
		}
	}
	faults += report(p, state.CheckReferences(docs))
	if faults > 0 {
		return failure{exitFailed, errors.Errorf("%d faults in %d files", faults, len(c.Files))}
	}
	fmt.Fprintf(p.out, "%d files are valid\n", len(c.Files))
	return nil
}

func report(p *process, faults []declared.Fault) int {
	for _, f := range faults {
		fmt.Fprintln(p.out, f)
	}
	return len(faults)
}

type applyCommand struct {
	Control []string      `help:"IP:PORT of each replica of the control log." default:"127.0.0.1:7071"`
	Wait    bool          `help:"Wait until the changes are in force on every entry that is heard."`
	Timeout time.Duration `help:"How long to try." default:"20s"`
	Files   []string      `arg:"" help:"Declared files, submitted in this order." type:"path"`
}

// Run submits each file; it stops at the first that is not accepted.
func (c applyCommand) Run(p *process) error {
	err := checkAddresses("control", c.Control)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(p.ctx, c.Timeout)
	defer cancel()
	client := controlclient.New(controlclient.StaticAddresses(c.Control))
	var revision uint64
	for _, file := range c.Files {
		text, err := os.ReadFile(file)
		if err != nil {
			return failure{exitFailed, err}
		}
		answer, err := client.Apply(ctx, file, text)
		if err != nil {
			return failure{exitFailed, errors.Wrapf(err, "%s: nobody can say yet whether it was accepted; submit the same file again", file)}
		}
		err = printApply(p, file, answer)
		if err != nil {
			return err
		}
		revision = max(revision, answer.Revision)
	}
	if !c.Wait {
		return nil
	}
	return waitInForce(ctx, p, client, revision)
}

func printApply(p *process, file string, answer *wire.ApplyResponse) error {
	switch answer.Result {
	case wire.ApplyResponse_ACCEPTED:
		again := ""
		if answer.Resent {
			again = " (accepted before)"
		}
		fmt.Fprintf(p.out, "%s: accepted at revision %d%s\n", file, answer.Revision, again)
		return nil
	case wire.ApplyResponse_CONFLICT:
		fmt.Fprintf(p.out, "%s: conflict: version %d is in force, so the next one is %d\n", file, answer.CurrentVersion, answer.CurrentVersion+1)
		for _, d := range answer.Differences {
			fmt.Fprintf(p.out, "  %s\n", d)
		}
		return failure{exitFailed, errors.Errorf("%s was not applied", file)}
	default:
		for _, f := range answer.Faults {
			fmt.Fprintln(p.out, declared.Fault{File: f.File, Line: int(f.Line), Field: f.Field, Reason: f.Reason})
		}
		return failure{exitFailed, errors.Errorf("%s was not applied", file)}
	}
}

// waitInterval is how often status is asked while waiting.
const waitInterval = 50 * time.Millisecond

// waitInForce waits until every process that reports has a revision.
func waitInForce(ctx context.Context, p *process, client *controlclient.Client, revision uint64) error {
	for {
		behind, heard := lagging(client.Status(ctx), revision)
		if heard > 0 && len(behind) == 0 {
			fmt.Fprintf(p.out, "revision %d is in force on all %d entries heard\n", revision, heard)
			return nil
		}
		select {
		case <-time.After(waitInterval):
		case <-ctx.Done():
			return failure{exitFailed, errors.Errorf("revision %d is accepted, but not yet in force on: %v", revision, behind)}
		}
	}
}

// lagging merges what the replicas heard of each process.
func lagging(replicas []*wire.StatusResponse, revision uint64) (behind []string, heard int) {
	for _, a := range merged(replicas) {
		heard++
		if a.Revision < revision {
			behind = append(behind, fmt.Sprintf("%s (%s, revision %d)", a.Name, a.FailureDomain, a.Revision))
		}
	}
	return behind, heard
}

func merged(replicas []*wire.StatusResponse) []*wire.Applied {
	newest := map[string]*wire.Applied{}
	var names []string
	for _, r := range replicas {
		for _, a := range r.Applied {
			known, ok := newest[a.Name]
			if !ok {
				names = append(names, a.Name)
			}
			if !ok || a.Revision > known.Revision {
				newest[a.Name] = a
			}
		}
	}
	var out []*wire.Applied
	for _, name := range names {
		out = append(out, newest[name])
	}
	return out
}

type statusCommand struct {
	Control []string      `help:"IP:PORT of each replica of the control log." default:"127.0.0.1:7071"`
	Timeout time.Duration `help:"How long to try." default:"5s"`
}

// Run prints what the replicas report; it exits 1 when none answers.
func (c statusCommand) Run(p *process) error {
	err := checkAddresses("control", c.Control)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(p.ctx, c.Timeout)
	defer cancel()
	replicas := controlclient.New(controlclient.StaticAddresses(c.Control)).Status(ctx)
	if len(replicas) == 0 {
		return failure{exitFailed, errors.Errorf("no replica of the control log answers at %v", c.Control)}
	}
	for _, r := range replicas {
		printReplica(p, r)
	}
	printEvacuations(p, replicas)
	var revision uint64
	for _, r := range replicas {
		revision = max(revision, r.Revision)
	}
	for _, a := range merged(replicas) {
		state := "in force"
		if a.Revision < revision {
			state = "lags"
		}
		if a.Unconfirmed {
			state += ", unconfirmed: it cannot reach the control log"
		}
		fmt.Fprintf(p.out, "entry %s domain %s revision %d: %s\n", a.Name, a.FailureDomain, a.Revision, state)
	}
	return nil
}

func printReplica(p *process, r *wire.StatusResponse) {
	role := "follower"
	switch {
	case r.Blank:
		role = "blank"
	case r.Leader == r.Incarnation:
		role = "leader"
	case r.Leader == "":
		role = "no leader known"
	}
	fmt.Fprintf(p.out, "control %d %s incarnation %s: %s, term %d, committed %d, revision %d, records %d\n",
		r.Id, r.Address, r.Incarnation, role, r.Term, r.Committed, r.Revision, r.Records)
	if r.Refusing != "" {
		fmt.Fprintf(p.out, "  takes no writes: %s\n", r.Refusing)
	}
	if role != "leader" {
		return
	}
	if r.Repair != "" {
		fmt.Fprintf(p.out, "  repair under way: %s\n", r.Repair)
	}
	for _, m := range r.Replicas {
		kind := "voter"
		if !m.Voter {
			kind = "learner"
		}
		fmt.Fprintf(p.out, "  replica %d %s incarnation %s: %s, holds %d\n", m.Id, m.Address, m.Incarnation, kind, m.Matched)
	}
}
