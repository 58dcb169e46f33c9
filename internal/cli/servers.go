package cli

import (
	"context"
	"net"
	"net/http"
	"os"
	"runtime/debug"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/shedrock/shedrock/internal/protocol/engine"
	"github.com/shedrock/shedrock/internal/transport/control"
	"github.com/shedrock/shedrock/internal/transport/controlclient"
	"github.com/shedrock/shedrock/internal/transport/entry"
	"github.com/shedrock/shedrock/internal/transport/feed"
	"github.com/shedrock/shedrock/internal/transport/httpserve"
	"github.com/shedrock/shedrock/internal/transport/peers"
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

// advertised is where others reach the replica: as the founding list says, which may lead
// there through a forwarded port, or else where it listens.
func advertised(id uint64, peers []control.Peer, listener net.Listener) string {
	for _, p := range peers {
		if p.ID == id {
			return p.Address
		}
	}
	return listener.Addr().String()
}

func runControl(ctx context.Context, logger *log.Logger, id uint64, peers []control.Peer, listener net.Listener, data string) error {
	folder, restart, ledger, err := control.Open(data)
	if err != nil {
		return failure{exitFailed, errors.Wrapf(err, "open %s", data)}
	}
	r := &control.Replica{
		ID: id, Address: advertised(id, peers, listener), Peers: peers, Folder: folder,
		RecoveredState: restart, Ledger: ledger, Listener: listener, Log: logger,
	}
	logger.Info().Str("event", "control_serves").Uint64("id", id).Str("address", r.Address).Str("incarnation", folder.Incarnation()).Bool("blank", folder.Created()).Int64("cut_bytes", folder.TruncatedBytes()).Msg("")
	return r.Run(ctx)
}

type entryCommand struct {
	Name          string   `help:"This entry's name, unlike any other's." required:""`
	FailureDomain string   `help:"The failure domain in which this instance runs." required:""`
	Callers       string   `help:"IP:PORT for callers." default:"127.0.0.1:8080"`
	Operators     string   `help:"IP:PORT for /livez, /readyz and /metrics." default:"127.0.0.1:9090"`
	Peers         string   `help:"IP:PORT on which other entries reach this one." default:"127.0.0.1:7080"`
	Seeds         []string `help:"IP:PORT of the peers' listeners of some other entries, to find all."`
	Control       []string `help:"IP:PORT of each replica of the control log." required:""`
	Instances     string   `help:"URL of the platform's list of live and leaving instances."`
	SecretFile    string   `help:"File with one secret a line, the same for all entries; the first is used and all are accepted." required:"" type:"path"`
	Data          string   `help:"Folder in which the entry keeps the declared state, when it has a disk." type:"path"`
	MaxBody       int64    `help:"Largest request body in bytes." default:"8388608"`
	MaxWaiting    int      `help:"How many requests may wait at this entry." default:"1024"`
	Contexts      int      `help:"How many kept contexts this entry remembers." default:"200000"`
}

// Run runs the entry until it is told to stop and nothing is in flight.
func (c entryCommand) Run(p *process) error {
	err := c.check()
	if err != nil {
		return err
	}
	secrets, err := readSecrets(c.SecretFile)
	if err != nil {
		return err
	}
	listeners, err := listenAll([]namedAddress{{"callers", c.Callers}, {"operators", c.Operators}, {"peers", c.Peers}})
	if err != nil {
		return err
	}
	e := &entry.Entry{
		Name: c.Name, FailureDomain: c.FailureDomain, Callers: listeners[0], Operators: listeners[1],
		Secrets: secrets, Control: controlclient.New(controlclient.StaticAddresses(c.Control)),
		Instances: c.Instances, MaxBody: c.MaxBody, MaxWaiting: c.MaxWaiting, Contexts: c.Contexts, Log: p.log,
		Peers: &peers.Peers{Name: c.Name, FailureDomain: c.FailureDomain, Listener: listeners[2], Seeds: c.Seeds, Log: p.log},
	}
	return runEntry(p.ctx, e, c.Control, c.Data)
}

func (c entryCommand) check() error {
	err := checkAddresses("control", c.Control)
	if err != nil {
		return err
	}
	err = checkAddresses("seeds", c.Seeds)
	if err != nil {
		return err
	}
	if c.MaxBody <= 0 || c.MaxWaiting <= 0 || c.Contexts <= 0 {
		return usage("--max-body, --max-waiting and --contexts must be above 0")
	}
	return nil
}

// entryGCPercent is by how much the heap of an entry may grow between two collections. It is below the
// default, as there are many entries on small instances.
const entryGCPercent = 40

// limitHeapGrowth sets entryGCPercent, unless the environment sets another value.
func limitHeapGrowth() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(entryGCPercent)
	}
}

// runEntry runs an entry, its part among the entries, and what keeps its declared
// state up to date.
func runEntry(ctx context.Context, e *entry.Entry, control []string, data string) error {
	limitHeapGrowth()
	f := feed.New()
	e.ControlReachable = func() bool { return !f.Unconfirmed() }
	err := e.Init()
	if err != nil {
		return err
	}
	e.Peers.Feed = f
	e.Peers.LookUpHints = e.FindHints
	e.Peers.StoreNotes = e.ApplyNotes
	e.Peers.InSameRegion = e.InRegion
	e.Peers.GrantLoan = e.LendTokens
	e.Peers.Ends = e.Ends
	follower := &feed.Follower{
		Feed: f, Self: e.Applied, Enforce: e.Enforce, Client: rpc.NewClient(), Log: e.Log,
		Source: feedSource(e.Peers, f, control),
	}
	if data != "" {
		follower.Store = feed.StoreIn(data)
		kept, err := feed.LoadStored(data)
		if err != nil {
			return failure{exitFailed, errors.Wrapf(err, "open %s", data)}
		}
		f.SetUnconfirmed(true)
		e.Enforce(kept)
		f.Publish(kept)
	}
	group, groupCtx := errgroup.WithContext(ctx)
	// Others may need this entry's answers, and its own feed, until it has stopped.
	helpers, stopHelpers := context.WithCancel(context.WithoutCancel(ctx))
	group.Go(func() error { follower.Run(helpers); return nil })
	group.Go(func() error { return e.Peers.Run(helpers) })
	group.Go(func() error { noteSuspensions(helpers, e.Log); return nil })
	group.Go(func() error {
		defer stopHelpers()
		return e.Run(groupCtx)
	})
	return group.Wait()
}

// feedSource follows the domain's relay; the relay itself follows the replicas of
// the control log. While that fails, replicas and the other entries are asked in
// turn: an entry that started while cut off takes what its live peers have, and says
// that it is unconfirmed.
func feedSource(p *peers.Peers, f *feed.Feed, control []string) func() (string, bool) {
	next := 0
	return func() (string, bool) {
		relay, other := p.Relay()
		if !f.Unconfirmed() {
			if other {
				return relay, true
			}
			return control[next%len(control)], true
		}
		next++
		all := append(p.LocalPeerAddresses(), control...)
		return all[next%len(all)], true
	}
}

// serveStandin serves a stand-in until ctx ends, with a line for each request that
// belongs to a run. Connections are cut: a stand-in has no duty to anybody.
func serveStandin(ctx context.Context, logger *log.Logger, listener net.Listener, h http.Handler) error {
	logged := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if run := r.Header.Get(engine.HeaderRun); run != "" {
			logger.Info().Str("event", "standin_run").Str("run", run).Str("method", r.Method).Str("path", r.URL.Path).Msg("")
		}
		h.ServeHTTP(w, r)
	})
	server := &http.Server{Handler: logged, ErrorLog: httpserve.NewErrorLog(logger)}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	return served(server.Serve(listener))
}

// served is the error of a server that ended, if it was not ended on purpose.
func served(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve")
}
