package streams

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/twitchtv/twirp"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/streamorigin"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/transport/fleet"
)

// maxRecords bounds the records of a control instance, to some 10 MB.
const maxRecords = 64 << 10

// Service keeps the records that entries share, at one control instance. It needs no leader. Set the exported
// fields before its use.
type Service struct {
	// View returns the current state of the fleet.
	View func() *fleet.View
	// Recorded reads the software versions of services that the control log holds, once a majority has confirmed that
	// this control instance leads. It fails at the others.
	Recorded func(context.Context) (map[string][]string, error)

	mu sync.Mutex
	// table is guarded by mu.
	table streamorigin.Table
	// kept is nil unless records are kept over restarts.
	kept *recordLog
}

// Persist keeps the records over restarts of this process, in files whose paths begin with path, until ctx ends. It
// must be called before the service is used. Without the files, records are kept in memory only.
func (s *Service) Persist(ctx context.Context, path string, logger *log.Logger) {
	kept, records, err := openLog(path, logger)
	if err != nil {
		logger.Error().Str("event", "stream_origins_not_kept").Str("error", err.Error()).Msg("")
		return
	}
	s.add(records)
	s.kept = kept
	go kept.run(ctx)
	logger.Info().Str("event", "stream_origins_read").Int("records", len(records)).Msg("")
}

// add keeps records in memory.
func (s *Service) add(records []streamorigin.Record) {
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Max = maxRecords
	for _, r := range records {
		s.table.Add(r, now)
	}
}

// Share keeps records.
func (s *Service) Share(_ context.Context, in *wire.ShareRequest) (*wire.ShareResponse, error) {
	records, ok := wire.ToOrigins(in.Origins)
	if !ok {
		return nil, twirp.InvalidArgumentError("keys", "a whole number of keys is needed")
	}
	s.add(records)
	s.kept.append(records)
	return &wire.ShareResponse{}, nil
}

// Find returns the records of streams, as far as they are here, and the software versions of services.
func (s *Service) Find(ctx context.Context, in *wire.FindStreamsRequest) (*wire.FindStreamsResponse, error) {
	keys, ok := wire.ToStreamKeys(in.Keys)
	if !ok {
		return nil, twirp.InvalidArgumentError("keys", "a whole number of keys is needed")
	}
	out := &wire.FindStreamsResponse{}
	versions := s.View().SoftwareVersions
	for _, service := range in.Services {
		out.Versions = append(out.Versions, &wire.ServiceVersions{Service: service, SoftwareVersions: slices.Sorted(maps.Keys(versions[service]))})
	}
	s.addRecorded(ctx, in.Services, out)
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var records []streamorigin.Record
	for _, k := range keys {
		if o, ok := s.table.Find(k, now); ok {
			records = append(records, streamorigin.Record{Key: k, Origin: o})
		}
	}
	out.Origins = wire.FromOrigins(records)
	return out, nil
}

// addRecorded adds the recorded software versions of services, if this control instance leads.
func (s *Service) addRecorded(ctx context.Context, services []string, out *wire.FindStreamsResponse) {
	if s.Recorded == nil {
		return
	}
	recorded, err := s.Recorded(ctx)
	if err != nil {
		// The leader answers the entry as well.
		return
	}
	for _, service := range services {
		if versions := recorded[service]; len(versions) > 0 {
			out.Recorded = append(out.Recorded, &wire.ServiceVersions{Service: service, SoftwareVersions: versions})
		}
	}
}

// Collector returns a gauge of the records that are kept.
func (s *Service) Collector() prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "shedrock_stream_origins", Help: "Origins of streams that entries have shared and that are kept here."}, func() float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return float64(s.table.Len())
	})
}
