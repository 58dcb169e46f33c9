package cli

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/transport/controlclient"
)

type evacuateCommand struct {
	Control []string      `help:"IP:PORT of each replica of the control log." default:"127.0.0.1:7071"`
	End     bool          `help:"End the evacuation: the domain's upstreams are used again."`
	Wait    bool          `help:"Wait until it is in force on every entry that is heard."`
	Timeout time.Duration `help:"How long to try." default:"20s"`
	Domain  string        `arg:"" help:"The failure domain."`
}

// Run starts or ends an evacuation; it returns once the control log holds it.
func (c evacuateCommand) Run(p *process) error {
	err := checkAddresses("control", c.Control)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(p.ctx, c.Timeout)
	defer cancel()
	client := controlclient.New(controlclient.StaticAddresses(c.Control))
	done, err := client.Evacuate(ctx, c.Domain, c.End)
	if err != nil {
		return failure{exitFailed, errors.Wrapf(err, "%s: nobody can say yet whether it was taken; give the same order again", c.Domain)}
	}
	fmt.Fprintf(p.out, "%s: %s since change %d of evacuations\n", c.Domain, evacuationName(!c.End), done.Revision)
	if !c.Wait {
		return nil
	}
	return waitForEntries(ctx, p, client, done)
}

func evacuationName(evacuated bool) string {
	if evacuated {
		return "evacuated"
	}
	return "in use"
}

// waitForEntries waits until every entry that is heard has a change of evacuations in force, and
// prints how many have as that changes.
func waitForEntries(ctx context.Context, p *process, client *controlclient.Client, change *wire.EvacuateResponse) error {
	shown := -1
	for {
		entries := entriesWith(client.Status(ctx), change)
		var behind []string
		for name, has := range entries {
			if !has {
				behind = append(behind, name)
			}
		}
		slices.Sort(behind)
		if have := len(entries) - len(behind); have != shown {
			shown = have
			fmt.Fprintf(p.out, "in force on %d of %d entries heard\n", have, len(entries))
		}
		if len(entries) > 0 && len(behind) == 0 {
			return nil
		}
		select {
		case <-time.After(waitInterval):
		case <-ctx.Done():
			return failure{exitFailed, errors.Errorf("change %d is taken, but not yet in force on: %v", change.Revision, behind)}
		}
	}
}

// entriesWith merges what the replicas heard of entries: whether each has a change in force. Some
// tell the newest change of evacuations, and others the revision of the declared state.
func entriesWith(replicas []*wire.StatusResponse, change *wire.EvacuateResponse) map[string]bool {
	out := map[string]bool{}
	for _, r := range replicas {
		for _, e := range r.Entries {
			out[e.Name] = out[e.Name] || e.Evacuations >= change.Revision
		}
	}
	for _, a := range merged(replicas) {
		out[a.Name] = out[a.Name] || a.Revision >= change.Declared
	}
	return out
}

// printEvacuations prints the failure domains that were evacuated, and the entries that do not have
// the newest change in force.
func printEvacuations(p *process, replicas []*wire.StatusResponse) {
	newest := map[string]*wire.EvacuationState{}
	var names []string
	revision := uint64(0)
	for _, r := range replicas {
		for _, d := range r.Evacuations {
			if newest[d.Domain] == nil {
				names = append(names, d.Domain)
			}
			if known := newest[d.Domain]; known == nil || d.Revision > known.Revision || d.Revision == known.Revision && d.AgeMilliseconds > known.AgeMilliseconds {
				newest[d.Domain] = d
			}
			revision = max(revision, d.Revision)
		}
	}
	for _, name := range names {
		d := newest[name]
		fmt.Fprintf(p.out, "failure domain %s: %s, change %d", name, evacuationName(d.Evacuated), d.Revision)
		if d.AgeMilliseconds > 0 {
			fmt.Fprintf(p.out, ", for at least %s", (time.Duration(d.AgeMilliseconds) * time.Millisecond).Round(time.Second))
		}
		fmt.Fprintln(p.out)
	}
	// Entries that tell the revision of the declared state are shown with that.
	entries := map[string]uint64{}
	for _, r := range replicas {
		for _, e := range r.Entries {
			entries[e.Name] = max(entries[e.Name], e.Evacuations)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(entries)) {
		if entries[name] < revision {
			fmt.Fprintf(p.out, "entry %s has change %d of evacuations, and not %d yet\n", name, entries[name], revision)
		}
	}
}
