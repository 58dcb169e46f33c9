package cli

import (
	"context"
	"net"
	"net/http"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/shedrock/shedrock/internal/transport/control"
	"github.com/shedrock/shedrock/internal/transport/controlclient"
	"github.com/shedrock/shedrock/internal/transport/entry"
	"github.com/shedrock/shedrock/internal/transport/feed"
	"github.com/shedrock/shedrock/internal/transport/rpc"
)

type controlCommand struct {
	ID      uint64   `help:"This replica's number, from 1." default:"1"`
	Address string   `help:"IP:PORT on which entries, operators and other replicas reach this one." default:"127.0.0.1:7071"`
	Peers   []string `help:"Every founding replica as NUMBER=IP:PORT, this one included. A group begins when all of them are blank."`
	Data    string   `help:"The data folder." required:"" type:"path"`
}

// Run runs the replica until it is told to stop.
func (c controlCommand) Run(p *process) error {
	peers, err := parsePeers(c.Peers)
	if err != nil {
		return err
	}
	if len(peers) == 0 {
		peers = []control.Peer{{ID: c.ID, Address: c.Address}}
	}
	listener, err := listen("address", c.Address)
	if err != nil {
		return err
	}
	return runControl(p.ctx, p.log, c.ID, peers, listener, c.Data)
}

func runControl(ctx context.Context, logger *log.Logger, id uint64, peers []control.Peer, listener net.Listener, data string) error {
	folder, restart, ledger, err := control.Open(data)
	if err != nil {
		return failure{exitFailed, errors.Wrapf(err, "open %s", data)}
	}
	r := &control.Replica{
		ID: id, Address: listener.Addr().String(), Peers: peers, Folder: folder,
		Restart: restart, Ledger: ledger, Listener: listener, Log: logger,
	}
	logger.Info().Str("event", "control_serves").Uint64("id", id).Str("address", r.Address).Str("incarnation", folder.Incarnation()).Bool("blank", folder.Fresh()).Int64("cut_bytes", folder.Cut()).Msg("")
	return r.Run(ctx)
}

type entryCommand struct {
	Name          string   `help:"This entry's name, unlike any other's." required:""`
	FailureDomain string   `help:"The failure domain in which this instance runs." required:""`
	Callers       string   `help:"IP:PORT for callers." default:"127.0.0.1:8080"`
	Operators     string   `help:"IP:PORT for /livez, /readyz and /metrics." default:"127.0.0.1:9090"`
	Control       []string `help:"IP:PORT of each replica of the control log." required:""`
	SecretFile    string   `help:"File with one secret a line, the same for all entries; the first is used and all are accepted." required:"" type:"path"`
	MaxBody       int64    `help:"Largest request body in bytes." default:"8388608"`
	MaxWaiting    int      `help:"How many requests may wait at this entry." default:"1024"`
	Contexts      int      `help:"How many kept contexts this entry remembers." default:"200000"`
}

// Run runs the entry until it is told to stop and nothing is in flight.
func (c entryCommand) Run(p *process) error {
	err := checkAddresses("control", c.Control)
	if err != nil {
		return err
	}
	if c.MaxBody <= 0 || c.MaxWaiting <= 0 || c.Contexts <= 0 {
		return usage("--max-body, --max-waiting and --contexts must be above 0")
	}
	secrets, err := readSecrets(c.SecretFile)
	if err != nil {
		return err
	}
	callers, err := listen("callers", c.Callers)
	if err != nil {
		return err
	}
	operators, err := listen("operators", c.Operators)
	if err != nil {
		return err
	}
	e := &entry.Entry{
		Name: c.Name, FailureDomain: c.FailureDomain, Callers: callers, Operators: operators,
		Secrets: secrets, Control: controlclient.New(controlclient.Fixed(c.Control)),
		MaxBody: c.MaxBody, MaxWaiting: c.MaxWaiting, Contexts: c.Contexts, Log: p.log,
	}
	return runEntry(p.ctx, e, c.Control)
}

// runEntry runs an entry and what keeps its declared state up to date.
func runEntry(ctx context.Context, e *entry.Entry, control []string) error {
	f := feed.New()
	e.Confirmed = func() bool { return !f.Unconfirmed() }
	err := e.Init()
	if err != nil {
		return err
	}
	next := 0
	follower := &feed.Follower{
		Feed: f, Self: e.Applied, Enforce: e.Enforce, Client: rpc.NewClient(), Log: e.Log,
		Source: func() (string, bool) {
			if f.Unconfirmed() {
				next++
			}
			return control[next%len(control)], true
		},
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { follower.Run(ctx); return nil })
	group.Go(func() error { return e.Run(ctx) })
	return group.Wait()
}

// serveStandin serves a stand-in until ctx ends. Connections are cut: a stand-in
// has no duty to anybody.
func serveStandin(ctx context.Context, listener net.Listener, h http.Handler) error {
	server := &http.Server{Handler: h}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve")
}
