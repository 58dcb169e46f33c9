package cli

import (
	"context"
	"encoding/binary"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"slices"
	"strconv"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"golang.org/x/sync/errgroup"

	"github.com/shedrock/shedrock/internal/coordination/membership"
	"github.com/shedrock/shedrock/internal/coordination/retry"
	"github.com/shedrock/shedrock/internal/settings"
	"github.com/shedrock/shedrock/internal/transport/control"
	"github.com/shedrock/shedrock/internal/transport/controlclient"
	"github.com/shedrock/shedrock/internal/transport/fleet"
	"github.com/shedrock/shedrock/internal/transport/keeping"
	"github.com/shedrock/shedrock/internal/transport/orders"
	"github.com/shedrock/shedrock/internal/transport/serving"
	"github.com/shedrock/shedrock/platform"
)

const (
	// memoryShare is the part of the instance's memory up to which the collector is lazy.
	memoryShare = 0.6
	// metricsPort serves the metrics; deploy/system.toml names it as well.
	metricsPort = 9464
	// headTimeout bounds a caller that sends half a head, and idleTimeout is above what
	// callers are promised by any configuration seen so far (15 s).
	headTimeout = 10 * time.Second
	idleTimeout = 75 * time.Second
	maxHead     = 64 << 10
	// notice is how long a process that stops still takes new connections: the balancer
	// asks each second and believes the second refusal.
	notice = 2500 * time.Millisecond
	// graceMargin is kept of the time that a process may take to end.
	graceMargin = time.Second
	// leaseMargin is waited on top of a lease, for an order on its way.
	leaseMargin = 500 * time.Millisecond
	// orderInterval is how often it is looked whether an order is to be given: a fleet has
	// some seconds for ten rounds of loads, and a look costs nothing while all is loaded.
	orderInterval = 120 * time.Millisecond
	// ticksASecond is how many ticks of the control log are in a second.
	ticksASecond = int(time.Second / control.DefaultTick)
	// poolSweep is how often idle connections are looked through.
	poolSweep = time.Second
)

type platformCommand struct {
	Entry   platformEntryCommand   `cmd:"" help:"Run an entry that finds the control instances by seeds."`
	Control platformControlCommand `cmd:"" help:"Run a replica of the control log that finds the others by seeds."`
}

type platformEntryCommand struct {
	Config string `help:"The settings file." required:"" type:"path"`
}

type platformControlCommand struct {
	Config string `help:"The settings file." required:"" type:"path"`
}

// Run runs the entry until it is told to stop and nothing is in flight.
func (c platformEntryCommand) Run(p *process) error {
	file, err := settings.Open(p.ctx, c.Config, p.log)
	if err != nil {
		return failure{exitUsage, err}
	}
	s := file.Current()
	limitMemory(s)
	listeners, err := listenAll([]namedAddress{{"callers", s.Callers}, {"ready", s.Ready}, {"metrics", metricsAddress(s)}})
	if err != nil {
		return err
	}
	follower := &fleet.Follower{
		Name: s.Name, Entry: true, Seeds: func() []string { return file.Current().PeerSeeds() },
		Decode: platform.DecodeConfig, Heartbeat: s.Heartbeat(), Log: p.log,
	}
	upstreams := &platform.Upstreams{}
	server := &serving.Server{
		View: follower.View, Upstreams: upstreams, Metrics: serving.NewMetrics(), Log: p.log,
		Allowance: retry.Allowance{Ratio: s.RetryRatio, Window: s.RetryWindow(), Slack: s.RetrySlack},
	}
	callers := &http.Server{
		Handler:           platform.Callers{Server: server, Log: p.log},
		ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHead,
	}
	ready := &http.Server{Handler: platform.Ready(server.Ready), ReadHeaderTimeout: headTimeout}
	metrics := &http.Server{Handler: server.Metrics.Handler(), ReadHeaderTimeout: headTimeout}
	p.log.Info().Str("event", "entry_starts").Str("name", s.Name).Str("failure_domain", s.FailureDomain).Str("callers", s.Callers).Msg("")
	helpers, endHelpers := context.WithCancel(context.WithoutCancel(p.ctx))
	defer endHelpers()
	var group errgroup.Group
	group.Go(func() error { follower.Run(helpers); return nil })
	group.Go(func() error { server.Run(helpers); return nil })
	group.Go(func() error { sweepPool(helpers, upstreams); return nil })
	group.Go(func() error { return served(callers.Serve(listeners[0])) })
	group.Go(func() error { return served(ready.Serve(listeners[1])) })
	group.Go(func() error { return served(metrics.Serve(listeners[2])) })
	group.Go(func() error {
		<-p.ctx.Done()
		drain(callers, server, s.Grace(), p.log)
		endHelpers()
		_ = ready.Close()
		return metrics.Close()
	})
	return group.Wait()
}

// drain ends the process in order: not ready, then no new connections, then the end of
// every request in flight.
func drain(callers *http.Server, server *serving.Server, grace time.Duration, logger *log.Logger) {
	began := time.Now()
	server.Stop()
	logger.Info().Str("event", "entry_stops").Msg("")
	time.Sleep(notice)
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(grace-graceMargin))
	defer cancel()
	err := callers.Shutdown(ctx)
	line := logger.Info().Str("event", "entry_stopped").Dur("took_ms", time.Since(began))
	if err != nil {
		line = line.Str("error", err.Error())
	}
	line.Msg("")
	_ = callers.Close()
}

func sweepPool(ctx context.Context, upstreams *platform.Upstreams) {
	ticker := time.NewTicker(poolSweep)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			upstreams.Pool.Sweep(now)
		case <-ctx.Done():
			return
		}
	}
}

func served(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve")
}

func limitMemory(s *settings.Settings) {
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMB) * (1 << 20)))
}

func metricsAddress(s *settings.Settings) string {
	return net.JoinHostPort(s.IP, strconv.Itoa(metricsPort))
}

// Run runs the replica until it is told to stop.
func (c platformControlCommand) Run(p *process) error {
	file, err := settings.Open(p.ctx, c.Config, p.log)
	if err != nil {
		return failure{exitUsage, err}
	}
	s := file.Current()
	if s.Data == "" {
		return usage("%s: data: a control instance needs a folder", c.Config)
	}
	limitMemory(s)
	listeners, err := listenAll([]namedAddress{{"control", s.Control}, {"peer", s.PeerAddress()}, {"metrics", metricsAddress(s)}})
	if err != nil {
		return err
	}
	folder, restart, ledger, err := control.Open(s.Data)
	if err != nil {
		return failure{exitFailed, errors.Wrapf(err, "open %s", s.Data)}
	}
	source := fleet.NewSource(p.ctx, s.Heartbeat(), p.log)
	addresses := func() []string { return union(file.Current().PeerSeeds(), source.Control()) }
	client := controlclient.New(addresses)
	follower := &fleet.Follower{
		Name: s.Name, Seeds: addresses, Decode: platform.DecodeConfig, Heartbeat: s.Heartbeat(), Log: p.log,
	}
	replica := &control.Replica{
		ID: replicaID(s.IP), Address: s.PeerAddress(), FailureDomain: s.FailureDomain,
		Folder: folder, Restart: restart, Ledger: ledger, Listener: listeners[1], Log: p.log,
		Heal:   &membership.Policy{Voters: 2*s.Losses + 1, DeadTicks: deadTicks(s)},
		Source: source, WaitOut: s.Lease() + leaseMargin, OrderInterval: orderInterval,
		Fleet: &orders.RegisteredEngines{View: follower.View, Engines: platform.NewEngines(), Holder: s.Name, Source: source, Log: p.log},
	}
	if s.FirstStart {
		replica.Peers = founders(s)
	}
	keeper := &keeping.Keeper{
		View: follower.View, Leading: replica.Leading, Confirm: replica.Confirm, Source: source, Stores: platform.NewStores(), Log: p.log,
	}
	calls := &http.Server{
		Handler:           platform.Control{Control: client, Source: source, Log: p.log}.Handler(),
		ReadHeaderTimeout: headTimeout,
	}
	metrics := &http.Server{Handler: promhttp.Handler(), ReadHeaderTimeout: headTimeout}
	p.log.Info().Str("event", "control_starts").Str("name", s.Name).Str("incarnation", folder.Incarnation()).Bool("blank", folder.Fresh()).Bool("first_start", s.FirstStart).Msg("")
	group, ctx := errgroup.WithContext(p.ctx)
	group.Go(func() error { return replica.Run(ctx) })
	group.Go(func() error { client.KeepJoined(ctx, replica.Status, p.log); return nil })
	group.Go(func() error { follower.Run(ctx); return nil })
	group.Go(func() error { keeper.Run(ctx); return nil })
	group.Go(func() error { return served(calls.Serve(listeners[0])) })
	group.Go(func() error { return served(metrics.Serve(listeners[2])) })
	group.Go(func() error {
		<-ctx.Done()
		_ = metrics.Close()
		return calls.Close()
	})
	err = group.Wait()
	p.log.Info().Str("event", "control_stopped").Msg("")
	return err
}

// deadTicks is after how many ticks of silence a voter may be replaced: its successor has
// CatchUp to take its place, and needs about half of it.
func deadTicks(s *settings.Settings) int {
	return max(ticksASecond, int(s.CatchUp()/2/control.DefaultTick))
}

// founders are the seeds, by whom the group is begun at the first start.
func founders(s *settings.Settings) []control.Peer {
	var out []control.Peer
	for _, address := range s.PeerSeeds() {
		host, _, err := net.SplitHostPort(address)
		if err == nil {
			out = append(out, control.Peer{ID: replicaID(host), Address: address})
		}
	}
	return out
}

// replicaID is the instance's IP number: every instance has one of its own.
func replicaID(ip string) uint64 {
	address, err := netip.ParseAddr(ip)
	if err != nil {
		return 0
	}
	b := address.As16()
	return binary.BigEndian.Uint64(b[8:])
}

func union(a, b []string) []string {
	out := append(slices.Clone(a), b...)
	slices.Sort(out)
	return slices.Compact(out)
}
