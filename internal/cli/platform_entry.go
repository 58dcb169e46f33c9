package cli

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"github.com/shedrock/shedrock/internal/clock"
	coordination "github.com/shedrock/shedrock/internal/coordination/detour"
	"github.com/shedrock/shedrock/internal/coordination/retry"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
	"github.com/shedrock/shedrock/internal/settings"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/transport/arbiter"
	"github.com/shedrock/shedrock/internal/transport/callerlimits"
	"github.com/shedrock/shedrock/internal/transport/detour"
	"github.com/shedrock/shedrock/internal/transport/ends"
	"github.com/shedrock/shedrock/internal/transport/fleet"
	"github.com/shedrock/shedrock/internal/transport/httpserve"
	"github.com/shedrock/shedrock/internal/transport/inbound"
	"github.com/shedrock/shedrock/internal/transport/keeping"
	"github.com/shedrock/shedrock/internal/transport/serving"
	"github.com/shedrock/shedrock/internal/transport/streams"
	"github.com/shedrock/shedrock/platform"
)

const (
	// peerIdleTimeout is how long an idle connection of another entry is kept.
	peerIdleTimeout = 75 * time.Second
	// bufferShare is the part of the process's memory for answers that callers have not taken yet.
	bufferShare = 1.0 / 8
	// inboundShare is the part of the process's memory for responses that are being read or passed on.
	inboundShare = 1.0 / 8
	// poolSweep is how often idle connections are looked through.
	poolSweep = time.Second
)

type platformEntryCommand struct {
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
	limitHeapGrowth()
	listeners, err := listenAll([]namedAddress{{"callers", s.Callers}, {"ready", s.Ready}, {"metrics", metricsAddress(s)}, {"peer", s.PeerListener()}})
	if err != nil {
		return err
	}
	e := newPlatformEntry(file, s, p.log)
	p.log.Info().Str("event", "entry_starts").Str("name", s.Name).Str("failure_domain", s.FailureDomain).Str("callers", s.Callers).Msg("")
	return e.run(p.ctx, listeners[0], listeners[1], listeners[2], listeners[3])
}

// platformEntry is the parts of an entry, wired together.
type platformEntry struct {
	follower  *fleet.Follower
	upstreams *platform.UpstreamClient
	detours   *detour.Upstreams
	server    *serving.Server
	forwarder *detour.Forwarder
	// limiter holds callers' connections to the limits of the configuration.
	limiter *callerlimits.Limiter
	// callers, ready, metrics and peers serve a listener each.
	callers, ready, metrics, peers *http.Server
	// grace is how long the process may take to end.
	grace time.Duration
	log   *log.Logger
}

// newPlatformEntry wires an entry by the settings s; of the file only the seeds are read
// again later.
func newPlatformEntry(file *settings.File, s *settings.Settings, logger *log.Logger) *platformEntry {
	follower := &fleet.Follower{
		Name: s.Name, Entry: true, FailureDomain: s.FailureDomain, Seeds: func() []string { return file.Current().PeerSeeds() },
		Decode: platform.DecodeConfig, Heartbeat: s.Heartbeat(), Metrics: fleet.NewMetrics(), Log: logger,
	}
	tracker := &ends.Tracker{
		Entries:         func() int { return follower.View().Entries },
		SupersededCheck: func() func(registry.Instance) bool { return follower.View().Superseded },
		Metrics:         ends.NewMetrics(), Log: logger,
	}
	follower.Ends = tracker
	origins := &streams.Tracker{View: follower.View, Metrics: streams.NewMetrics(), Log: logger}
	follower.OnVersionAdded = origins.ShareAll
	responses := inbound.NewBudget(max(platform.MinInboundBytes, int64(inboundShare*s.MemoryMB*(1<<20))))
	upstreams := &platform.UpstreamClient{Inbound: responses}
	detours := &detour.Upstreams{
		Name: s.Name, FailureDomain: s.FailureDomain, Direct: upstreams, Metrics: detour.NewMetrics(), Log: logger,
		Instances: func(service string) []registry.Instance { return follower.View().Instances[service] },
		Peers:     func() []coordination.Peer { return follower.View().Peers },
	}
	follower.PeerAddress, follower.PathLost = s.PeerAddress(), detours.AnyLost
	server := &serving.Server{
		View: follower.View, Upstreams: detours, PathLostSince: detours.LostSince, Ends: tracker, Streams: origins, Arbiter: arbiter.NewClient(logger), Saves: keeping.NewClient(func() string { return follower.View().Leader }, logger), Metrics: serving.NewMetrics(), Log: logger,
		BufferBytes: int(bufferShare * s.MemoryMB * (1 << 20)), OldWeightsGrace: s.OldWeights(), Regions: s.Regions, Cold: serving.ColdAllowance{Overage: s.ColdOverage, Slack: s.ColdSlack},
		Allowance: retry.Allowance{Ratio: s.RetryRatio, Window: s.RetryWindow(), Slack: s.RetrySlack},
	}
	follower.FailuresPending, follower.TakeFailures = server.FailuresPending(), server.TakeFailures
	server.Metrics.RegisterView(follower.View)
	server.Metrics.Register(tracker.Collectors())
	server.Metrics.Register(follower.Metrics.Collectors())
	server.Metrics.Register(detours.Metrics.Collectors())
	server.Metrics.Register(origins.Metrics.Collectors())
	server.Metrics.Register([]prometheus.Collector{responses.Collector()})
	forwarder := &detour.Forwarder{
		Upstreams: detours, Stopping: server.Stopping, Metrics: detours.Metrics, Log: logger,
		Send: func(ctx context.Context, a *exchange.Attempt) exchange.Reply {
			return server.Forward(ctx, a, detours.SendDirect)
		},
		Knows: func(in registry.Instance) bool { return follower.View().IsLive(in) },
	}
	errorLog := httpserve.NewErrorLog(logger)
	limiter := newCallerLimiter(follower.View, logger)
	server.Metrics.Register(limiter.Metrics.Collectors())
	callers := &http.Server{Handler: platform.IngressHandler{Server: server, Log: logger}, ConnContext: platform.ConnContext, ErrorLog: errorLog}
	limiter.Configure(callers)
	return &platformEntry{
		follower: follower, upstreams: upstreams, detours: detours, server: server, forwarder: forwarder, limiter: limiter, grace: s.Grace(), log: logger,
		callers: callers,
		ready:   &http.Server{Handler: platform.ReadinessHandler(server.Ready), ReadHeaderTimeout: headTimeout, MaxHeaderBytes: inbound.MaxHeadBytes, ErrorLog: errorLog},
		metrics: metricsServer(server.Metrics.Handler(), s, errorLog),
		peers:   &http.Server{Handler: peerHandler(forwarder), ReadHeaderTimeout: headTimeout, MaxHeaderBytes: inbound.MaxHeadBytes, IdleTimeout: peerIdleTimeout, ErrorLog: errorLog},
	}
}

// peerHandler serves other entries.
func peerHandler(forwarder *detour.Forwarder) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST "+detour.Path, forwarder)
	return mux
}

// run serves until ctx ends and nothing is in flight: what the requests in flight need goes
// on until then.
func (e *platformEntry) run(ctx context.Context, callers, ready, metrics, peers net.Listener) error {
	helpers, endHelpers := context.WithCancel(context.WithoutCancel(ctx))
	defer endHelpers()
	var group errgroup.Group
	group.Go(func() error { e.follower.Run(helpers); return nil })
	group.Go(func() error { e.server.Run(helpers); return nil })
	group.Go(func() error { e.server.Ends.Run(helpers); return nil })
	group.Go(func() error { e.detours.Run(helpers); return nil })
	group.Go(func() error { sweepPool(helpers, e.upstreams); return nil })
	group.Go(func() error { noteSuspensions(helpers, e.log); return nil })
	group.Go(func() error { e.limiter.Run(helpers); return nil })
	group.Go(func() error { return served(e.callers.Serve(e.limiter.Listener(callers))) })
	group.Go(func() error { return served(e.ready.Serve(ready)) })
	group.Go(func() error { return served(e.metrics.Serve(metrics)) })
	group.Go(func() error { return served(e.peers.Serve(peers)) })
	group.Go(func() error {
		<-ctx.Done()
		e.drain()
		endHelpers()
		_ = e.ready.Close()
		return e.metrics.Close()
	})
	return group.Wait()
}

func sweepPool(ctx context.Context, upstreams *platform.UpstreamClient) {
	ticker := time.NewTicker(poolSweep)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			upstreams.Pool.Sweep(clock.Now())
		case <-ctx.Done():
			return
		}
	}
}
