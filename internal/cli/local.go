package cli

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/shedrock/shedrock/internal/standin/engine"
	"github.com/shedrock/shedrock/internal/standin/service"
	"github.com/shedrock/shedrock/internal/standin/store"
	"github.com/shedrock/shedrock/internal/transport/control"
	"github.com/shedrock/shedrock/internal/transport/controlclient"
	"github.com/shedrock/shedrock/internal/transport/entry"
	"github.com/shedrock/shedrock/internal/transport/netdial"
	"github.com/shedrock/shedrock/internal/transport/peers"
)

type localCommand struct {
	Callers   string `help:"IP:PORT for callers." default:"127.0.0.1:8080"`
	Operators string `help:"IP:PORT for /livez, /readyz and /metrics." default:"127.0.0.1:9090"`
	Control   string `help:"IP:PORT of the control log, for apply and status." default:"127.0.0.1:7071"`
	Data      string `help:"Data folder to keep between runs; without it a temporary one is used." type:"path"`
}

// demoKeyDigest is the SHA-256 digest of "demo-key".
const demoKeyDigest = "c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c"

// localSecret is no secret: everything it protects is in this one process.
const localSecret = "shedrock local: not a secret"

// localHost is where the stand-ins listen, on ports the system picks.
const localHost = "127.0.0.1:0"

const localTimeout = 20 * time.Second

// Run starts a control log of one, an entry, two upstreams, a store and a service,
// and declares them.
func (c localCommand) Run(p *process) error {
	data := c.Data
	if data == "" {
		var err error
		data, err = os.MkdirTemp("", "shedrock-local-")
		if err != nil {
			return failure{exitFailed, err}
		}
		defer os.RemoveAll(data)
	}
	group, ctx := errgroup.WithContext(p.ctx)
	opened, err := listenAll([]namedAddress{{"callers", c.Callers}, {"operators", c.Operators}, {"control", c.Control}, {"peers", localHost}})
	if err != nil {
		return err
	}
	parts, err := startParts(ctx, p.log, group)
	if err != nil {
		return err
	}
	address := opened[2].Addr().String()
	group.Go(func() error {
		return runControl(ctx, p.log, 1, []control.Peer{{ID: 1, Address: address}}, opened[2], data)
	})
	client := controlclient.New(controlclient.StaticAddresses([]string{address}))
	e := &entry.Entry{
		Name: "local", FailureDomain: "local", Callers: opened[0], Operators: opened[1],
		Secrets: [][]byte{[]byte(localSecret)}, Control: client, Log: p.log,
		Peers: &peers.Peers{Name: "local", FailureDomain: "local", Listener: opened[3], Log: p.log},
	}
	group.Go(func() error { return runEntry(ctx, e, []string{address}, "") })
	group.Go(func() error { return c.declare(ctx, p, client, parts) })
	return group.Wait()
}

// parts are the addresses of the stand-ins.
type parts struct {
	upstreams      [2]string
	store, service string
}

func startParts(ctx context.Context, logger *log.Logger, group *errgroup.Group) (parts, error) {
	var out parts
	for i := range out.upstreams {
		e := engine.New(engine.Options{
			Version: "v1", Slots: 8, Queue: 64, PrefillRate: 4000, TokenInterval: 20 * time.Millisecond,
			CacheBlocks: 4096, LoadLag: 300 * time.Millisecond, EventLag: 300 * time.Millisecond,
			LoadTime: time.Second, ChecksOrders: true, KeepRuns: time.Minute, DefaultTokens: 16, Start: startID(),
		})
		err := startPart(ctx, logger, group, e.Handler(), &out.upstreams[i])
		if err != nil {
			return out, err
		}
	}
	s := store.New(store.Options{MemoryBytes: 64 << 20, DiskBytes: 256 << 20, LinkRate: 200e6, DiskRate: 100e6, Incarnation: startID()})
	err := startPart(ctx, logger, group, s.Handler(), &out.store)
	if err != nil {
		return out, err
	}
	var v service.Service
	err = startPart(ctx, logger, group, v.Handler(), &out.service)
	return out, err
}

// startPart serves one stand-in and says where.
func startPart(ctx context.Context, logger *log.Logger, group *errgroup.Group, h http.Handler, address *string) error {
	listener, err := netdial.Listen(localHost)
	if err != nil {
		return failure{exitFailed, err}
	}
	*address = listener.Addr().String()
	group.Go(func() error { return serveStandin(ctx, logger, listener, h) })
	return nil
}

// documents are the declared files of the demo.
func (d parts) documents() []string {
	head := func(kind string) string { return fmt.Sprintf("document: %s\nversion: 1\n", kind) }
	upstreams := head("upstreams") + "upstreams:\n"
	for i, address := range d.upstreams {
		upstreams += fmt.Sprintf("  - name: upstream-%d\n    address: %s\n    failure_domain: local\n    model: demo\n    slots: 8\n"+
			"    prefill_tokens_per_second: 4000\n    link_bytes_per_second: 200000000\n    checks_orders: true\n", i+1, address)
	}
	return []string{
		head("models") + "models:\n  - name: demo\n    weight_version: v1\n    kv_bytes_per_token: 1024\n    max_prompt_tokens: 100000\n",
		head("services") + "services:\n  - name: orders\n    instances: [" + d.service + "]\n    not_repeatable: [\"POST *\"]\n",
		upstreams,
		head("stores") + "stores:\n  - name: store-1\n    address: " + d.store + "\n    failure_domain: local\n" +
			"    memory_bytes: 67108864\n    disk_bytes: 268435456\n    link_bytes_per_second: 200000000\n",
		head("teams") + "teams:\n  - name: demo\n    key_digests: [" + demoKeyDigest + "]\n    models: [demo]\n    services: [orders]\n",
	}
}

// declare applies the demo's documents, unless a kept data folder has newer ones;
// addresses change with each start, so upstreams and the like are always new.
func (c localCommand) declare(ctx context.Context, p *process, client *controlclient.Client, d parts) error {
	ctx, cancel := context.WithTimeout(ctx, localTimeout)
	defer cancel()
	var revision uint64
	for _, text := range d.documents() {
		answer, err := client.Apply(ctx, "demo", []byte(text))
		if err != nil {
			return failure{exitFailed, errors.Wrap(err, "declare the demo")}
		}
		if answer.CurrentVersion > 0 {
			answer, err = client.Apply(ctx, "demo", []byte(strings.Replace(text, "version: 1\n", fmt.Sprintf("version: %d\n", answer.CurrentVersion+1), 1)))
			if err != nil {
				return failure{exitFailed, errors.Wrap(err, "declare the demo")}
			}
		}
		if len(answer.Faults) > 0 {
			return failure{exitFailed, errors.Errorf("declare the demo: %v", answer.Faults)}
		}
		revision = max(revision, answer.Revision)
	}
	err := waitInForce(ctx, p, client, revision)
	if err != nil {
		return err
	}
	fmt.Fprintf(p.out, `shedrock local serves callers on %s and operators on %s. Try:

curl -N http://%s/v1/chat/completions -H "Authorization: Bearer demo-key" -d '{"model":"demo","stream":true,"messages":[{"role":"user","content":"Which valve sticks?"}]}'

Stop it with Ctrl-C.
`, c.Callers, c.Operators, c.Callers)
	return nil
}
