package streams

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/twitchtv/twirp"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/streamorigin"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/transport/fleet"
)

// maxRecords bounds the records of a control instance, to some 10 MB.
const maxRecords = 64 << 10

// Service keeps the records that entries share, at one control instance. It needs no leader. Set View before its
// use.
type Service struct {
	// View returns the current state of the fleet.
	View func() *fleet.View

	mu sync.Mutex
	// table is guarded by mu.
	table streamorigin.Table
}

// Share keeps records.
func (s *Service) Share(_ context.Context, in *wire.ShareRequest) (*wire.ShareResponse, error) {
	records, ok := wire.ToOrigins(in.Origins)
	if !ok {
		return nil, twirp.InvalidArgumentError("keys", "a whole number of keys is needed")
	}
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Max = maxRecords
	for _, r := range records {
		s.table.Add(r, now)
	}
	return &wire.ShareResponse{}, nil
}

// Find returns the records of streams, as far as they are here, and the software versions of services.
func (s *Service) Find(_ context.Context, in *wire.FindStreamsRequest) (*wire.FindStreamsResponse, error) {
	keys, ok := wire.ToStreamKeys(in.Keys)
	if !ok {
		return nil, twirp.InvalidArgumentError("keys", "a whole number of keys is needed")
	}
	out := &wire.FindStreamsResponse{}
	versions := s.View().SoftwareVersions
	for _, service := range in.Services {
		out.Versions = append(out.Versions, &wire.ServiceVersions{Service: service, SoftwareVersions: slices.Sorted(maps.Keys(versions[service]))})
	}
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

// Collector returns a gauge of the records that are kept.
func (s *Service) Collector() prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "shedrock_stream_origins", Help: "Origins of streams that entries have shared and that are kept here."}, func() float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return float64(s.table.Len())
	})
}
