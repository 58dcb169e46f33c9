package cli

import (
	"context"
	"encoding/binary"
	"net"
	"net/http"
	"net/netip"
	"path/filepath"
	"slices"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	contexts "github.com/shedrock/shedrock/internal/coordination/keeping"
	"github.com/shedrock/shedrock/internal/coordination/membership"
	"github.com/shedrock/shedrock/internal/settings"
	"github.com/shedrock/shedrock/internal/state/isolation"
	"github.com/shedrock/shedrock/internal/state/residency"
	"github.com/shedrock/shedrock/internal/transport/arbiter"
	"github.com/shedrock/shedrock/internal/transport/callmetrics"
	"github.com/shedrock/shedrock/internal/transport/control"
	"github.com/shedrock/shedrock/internal/transport/controlclient"
	"github.com/shedrock/shedrock/internal/transport/fleet"
	"github.com/shedrock/shedrock/internal/transport/httpserve"
	"github.com/shedrock/shedrock/internal/transport/inbound"
	"github.com/shedrock/shedrock/internal/transport/keeping"
	"github.com/shedrock/shedrock/internal/transport/loads"
	"github.com/shedrock/shedrock/internal/transport/orders"
	"github.com/shedrock/shedrock/internal/transport/streams"
	"github.com/shedrock/shedrock/platform"
)

const (
	// leaseMargin is waited on top of a lease, for an order on its way.
	leaseMargin = 500 * time.Millisecond
	// orderInterval is how often it is looked whether an order is to be given: a fleet has
	// some seconds for ten rounds of loads, and a look costs nothing while all is loaded.
	orderInterval = 120 * time.Millisecond
	// storeListShare is the part of the process's memory for what stores tell while it is decoded.
	storeListShare = 1.0 / 4
	// instancesFile is what instances reported, in the data folder.
	instancesFile = "instances"
	// originsFile is how the names of the files begin that hold where streams began, in the data folder.
	originsFile = "streams"
	// ticksASecond is how many ticks of the control log are in a second.
	ticksASecond = int(time.Second / control.DefaultTick)
)

type platformControlCommand struct {
	Config string `help:"The settings file." required:"" type:"path"`
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
	listeners, err := listenAll([]namedAddress{{"control", s.Control}, {"peer", s.PeerListener()}, {"metrics", metricsAddress(s)}})
	if err != nil {
		return err
	}
	r, err := newPlatformControl(p.ctx, file, s, listeners[1], p.log)
	if err != nil {
		return err
	}
	folder := r.replica.Folder
	p.log.Info().Str("event", "control_starts").Str("name", s.Name).Str("incarnation", folder.Incarnation()).Bool("blank", folder.Created()).Bool("first_start", s.FirstStart).Msg("")
	err = r.run(p.ctx, listeners[0], listeners[2])
	p.log.Info().Str("event", "control_stopped").Msg("")
	return err
}

// platformControl is the parts of a control instance, wired together.
type platformControl struct {
	replica  *control.Replica
	client   *controlclient.Client
	follower *fleet.Follower
	keeper   *keeping.StoreWatcher
	epochs   *keeping.EpochRecorder
	versions *streams.VersionRecorder
	loads    *loads.Poller
	requirer *orders.Requirer
	// calls and metrics serve a listener each; replicas reach one another by the replica's.
	calls, metrics *http.Server
	log            *log.Logger
}

// newPlatformControl opens the data folder and wires a control instance by the settings s;
// of the file only the seeds are read again later. The watch of its source ends with ctx.
func newPlatformControl(ctx context.Context, file *settings.File, s *settings.Settings, peers net.Listener, logger *log.Logger) (*platformControl, error) {
	folder, restart, ledger, err := control.Open(s.Data)
	if err != nil {
		return nil, failure{exitFailed, errors.Wrapf(err, "open %s", s.Data)}
	}
	source := fleet.NewSource(ctx, s.Heartbeat(), logger)
	source.Name, source.FailureDomain, source.Copies, source.Metrics = s.Name, s.FailureDomain, int(s.Losses), fleet.NewMetrics()
	source.Persist(ctx, filepath.Join(s.Data, instancesFile))
	addresses := func() []string { return union(file.Current().PeerSeeds(), source.Control()) }
	client := controlclient.New(addresses)
	follower := &fleet.Follower{
		Name: s.Name, FailureDomain: s.FailureDomain, Seeds: addresses, Decode: platform.DecodeConfig, Heartbeat: s.Heartbeat(), Log: logger,
		Metrics: source.Metrics, Relay: source, Address: s.PeerAddress(), FailuresPending: source.ForwardPending(), TakeFailures: source.TakeForward,
	}
	engines := platform.NewEngineClient()
	replica := &control.Replica{
		ID: replicaID(s.IP), Address: s.PeerAddress(), FailureDomain: s.FailureDomain,
		Folder: folder, RecoveredState: restart, Ledger: ledger, Listener: peers, Log: logger,
		MembershipPolicy: &membership.Policy{Voters: 2*int(s.Losses) + 1, DeadTicks: deadTicks(s)},
		Source:           source, OrderPredecessorTimeout: s.Lease() + leaseMargin, OrderInterval: orderInterval,
		Fleet: &orders.RegisteredEngines{View: follower.View, Engines: engines, Holder: s.Name, Source: source, OldWeightsGrace: s.OldWeights(), Log: logger},
	}
	if s.FirstStart {
		replica.Peers = founders(s)
	}
	decisions := &arbiter.Service{View: follower.View, Leading: replica.Leading, Log: logger}
	replica.Arbiter = decisions
	origins := &streams.Service{View: follower.View, Recorded: replica.RecordedSoftware}
	origins.Persist(ctx, filepath.Join(s.Data, originsFile), logger)
	replica.Streams = origins
	calls := callmetrics.New(func() callmetrics.ReplicaState { return standing(replica, follower) })
	replica.OnSeparation = func(reason isolation.Reason) { calls.CountSeparation(string(reason)) }
	lists := inbound.NewBudget(int64(storeListShare * s.MemoryMB * (1 << 20)))
	calls.Register(lists.Collector())
	calls.Register(decisions)
	calls.Register(origins.Collector())
	for _, c := range source.Metrics.Collectors() {
		calls.Register(c)
	}
	keeper := &keeping.StoreWatcher{
		View: follower.View, Leading: replica.Leading, ConfirmLeadership: replica.VerifyLeader, Committed: replica.CommittedStores, Source: source, Stores: platform.NewStoreClient(lists), Log: logger,
		CommitSaves: replica.CommitSaves, CommitEnds: replica.CommitSaveEnds, CommitRecorded: replica.CommitSavesRecorded, Engines: engines, FirstStart: s.FirstStart, Metrics: keeping.NewMetrics(),
		OnFreed: func(reason contexts.FreeReason, parts int) { calls.CountFreedParts(string(reason), parts) },
	}
	replica.Saves = keeper
	for _, c := range keeper.Metrics.Collectors() {
		calls.Register(c)
	}
	return &platformControl{
		replica: replica, client: client, follower: follower, log: logger,
		keeper: keeper,
		epochs: &keeping.EpochRecorder{
			View: follower.View, Leading: replica.Leading, Committed: replica.CommittedStores, CommitOpen: replica.CommitOpenStore, Log: logger,
		},
		versions: &streams.VersionRecorder{
			View: follower.View, Leading: replica.Leading, Recorded: replica.RecordedSoftware, Record: replica.RecordSoftware, FirstStart: s.FirstStart, Log: logger,
		},
		loads: &loads.Poller{View: follower.View, Leading: replica.Leading, Engines: engines, Source: source, Decider: decisions, Log: logger},
		requirer: &orders.Requirer{
			View: follower.View, Leading: replica.Leading, CommitRequired: replica.RequireWeights, OldWeightsGrace: s.OldWeights(), Log: logger,
		},
		calls: &http.Server{
			Handler: calls.Instrument(platform.Control{
				Control: client, Source: source, Domains: func() []string { return file.Current().FailureDomains },
				Regions: func() residency.Regions { return file.Current().Regions }, OnReportRefused: calls.CountRefusedReport, Log: logger,
			}.Handler()),
			ReadHeaderTimeout: headTimeout, MaxHeaderBytes: inbound.MaxHeadBytes, ErrorLog: httpserve.NewErrorLog(logger),
		},
		metrics: metricsServer(calls.Handler(), s, httpserve.NewErrorLog(logger)),
	}, nil
}

// standing is how a control instance stands, for its metrics.
func standing(replica *control.Replica, follower *fleet.Follower) callmetrics.ReplicaState {
	view := follower.View()
	term, leading := replica.Leading()
	out := callmetrics.ReplicaState{Leading: leading, Term: term}
	if view.Config != nil {
		out.Version, out.SharedSince = view.Config.Version, view.Config.SharedSince
	}
	for _, instances := range view.Instances {
		out.Instances += len(instances)
	}
	return out
}

// run serves until ctx ends or a part fails.
func (r *platformControl) run(ctx context.Context, calls, metrics net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.replica.Run(ctx) })
	group.Go(func() error { r.client.KeepJoined(ctx, r.replica.Status, r.log); return nil })
	group.Go(func() error { r.follower.Run(ctx); return nil })
	group.Go(func() error { r.keeper.Run(ctx); return nil })
	group.Go(func() error { r.epochs.Run(ctx); return nil })
	group.Go(func() error { r.versions.Run(ctx); return nil })
	group.Go(func() error { r.loads.Run(ctx); return nil })
	group.Go(func() error { r.requirer.Run(ctx); return nil })
	group.Go(func() error { noteSuspensions(ctx, r.log); return nil })
	group.Go(func() error { return served(r.calls.Serve(calls)) })
	group.Go(func() error { return served(r.metrics.Serve(metrics)) })
	group.Go(func() error {
		<-ctx.Done()
		_ = r.metrics.Close()
		return r.calls.Close()
	})
	return group.Wait()
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
