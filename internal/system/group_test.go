package system_test

import (
	"context"
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/system/processes"
	"github.com/shedrock/shedrock/internal/transport/controlclient"
)

// group is a control log of real processes.
type group struct {
	t *testing.T
	// addresses are where others reach the replicas; with links they lead to listening.
	addresses, listening []string
	folders              []string
	replicas             []*processes.Process
	client               *controlclient.Client
	links                *processes.Links
}

func newGroup(t *testing.T, n int) *group {
	t.Helper()
	return startGroup(t, n, nil)
}

// startGroup starts replicas that reach each other over links, or directly.
func startGroup(t *testing.T, n int, l *processes.Links) *group {
	t.Helper()
	g := &group{t: t, links: l}
	for i := range n {
		address := processes.FreeAddress(t)
		g.listening = append(g.listening, address)
		if l != nil {
			address = processes.FreeAddress(t)
			l.Forward(replicaName(i), address, g.listening[i])
		}
		g.addresses = append(g.addresses, address)
		g.folders = append(g.folders, filepath.Join(t.TempDir(), "data"))
	}
	for i := range n {
		p := processes.Start(t, g.args(i)...)
		g.replicas = append(g.replicas, p)
		l.Attach(replicaName(i), p)
	}
	g.client = controlclient.New(controlclient.StaticAddresses(g.addresses))
	return g
}

func replicaName(i int) string { return fmt.Sprint("replica ", i+1) }

func (g *group) args(i int) []string {
	args := []string{"control", "--id", fmt.Sprint(i + 1), "--address", g.listening[i], "--data", g.folders[i]}
	for j, address := range g.addresses {
		args = append(args, "--peers", fmt.Sprintf("%d=%s", j+1, address))
	}
	return args
}

// status returns what the replica at an index reports.
func (g *group) status(i int) (*wire.StatusResponse, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	all := controlclient.New(controlclient.StaticAddresses(g.addresses[i : i+1])).Status(ctx)
	if len(all) == 0 {
		return nil, false
	}
	return all[0], true
}

// leader returns the index of the replica that leads.
func (g *group) leader() int {
	g.t.Helper()
	found := -1
	eventually(g.t, "somebody leads", func() bool {
		var term uint64
		for i := range g.addresses {
			s, ok := g.status(i)
			if ok && s.Leader == s.Incarnation && s.Incarnation != "" && s.Term > term {
				found = i
				term = s.Term
			}
		}
		return found >= 0
	})
	return found
}

// apply submits a document until it is answered.
func (g *group) apply(kind string, version int, body string) *wire.ApplyResponse {
	g.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	answer, err := g.client.Apply(ctx, kind+".yaml", []byte(fmt.Sprintf("document: %s\nversion: %d\n%s", kind, version, body)))
	if err != nil {
		g.t.Fatal(err)
	}
	return answer
}

func models(weights string) string {
	return "models:\n  - {name: demo, weight_version: " + weights + ", kv_bytes_per_token: 64, max_prompt_tokens: 100000}\n"
}
