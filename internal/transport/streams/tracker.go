// Package streams shares where streams began between the entries. Each entry keeps the origins of its own streams;
// while a service has several software versions, it also sends them to control instances, of which any entry
// asks for the origin of a stream that it does not know.
package streams

import (
	"cmp"
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/streamorigin"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/transport/fleet"
	"github.com/shedrock/shedrock/internal/transport/rpc"
)

const (
	// recordCopies is how many control instances keep each record.
	recordCopies = 2
	// shareDelay is how long records are collected before they are sent, and shareTimeout bounds the call.
	shareDelay   = 5 * time.Millisecond
	shareTimeout = 500 * time.Millisecond
	// maxUnsent bounds the records that wait to be sent, to some 0.5 MB.
	maxUnsent = 16 << 10
	// maxOwn bounds the records of an entry, to some 2 MB.
	maxOwn = 16 << 10
	// findTimeout bounds the search for a record. A record that is being sent is found in a second
	// search after findPause.
	findTimeout = 200 * time.Millisecond
	findPause   = 4 * shareDelay
)

// Tracker holds one entry's knowledge of where streams began. Set the exported fields before its use. It is safe
// for concurrent use.
type Tracker struct {
	// View returns the current state of the fleet.
	View    func() *fleet.View
	Metrics *Metrics
	// Log receives one line per event.
	Log *log.Logger

	once      sync.Once
	client    *http.Client
	startedAt time.Time

	mu sync.Mutex
	// The fields below are guarded by mu.
	own streamorigin.Table
	// unsent holds the records to be sent. While it is not empty, a call of flush is scheduled.
	unsent []streamorigin.Record
}

func (t *Tracker) init() {
	t.once.Do(func() {
		t.client = rpc.NewClient()
		t.startedAt = clock.Now()
		t.own = streamorigin.Table{Max: maxOwn}
	})
}

// Began records where a stream began, before its first event is forwarded.
func (t *Tracker) Began(r streamorigin.Record) {
	t.init()
	shared := len(t.View().SoftwareVersions[r.Origin.Service]) > 1
	t.mu.Lock()
	defer t.mu.Unlock()
	t.own.Add(r, clock.Now())
	if shared {
		t.share([]streamorigin.Record{r})
	}
}

// ShareAll sends the origins of all streams of a service, which has got a further software version.
func (t *Tracker) ShareAll(service string) {
	t.init()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.share(t.own.OfService(service, clock.Now()))
}

// share has records sent. mu must be held.
func (t *Tracker) share(records []streamorigin.Record) {
	room := maxUnsent - len(t.unsent)
	if len(records) > room {
		t.Metrics.unshared.Add(float64(len(records) - room))
		records = records[len(records)-room:]
	}
	if len(t.unsent) == 0 && len(records) > 0 {
		time.AfterFunc(shareDelay, t.flush)
	}
	t.unsent = append(t.unsent, records...)
}

// flush sends each queued record to recordCopies control instances.
func (t *Tracker) flush() {
	t.mu.Lock()
	records := t.unsent
	t.unsent = nil
	t.mu.Unlock()
	replicas := t.View().Replicas
	batches := map[string][]streamorigin.Record{}
	for _, r := range records {
		for _, address := range preferred(replicas, r.Key)[:min(recordCopies, len(replicas))] {
			batches[address] = append(batches[address], r)
		}
	}
	for address, batch := range batches {
		go t.send(address, batch)
	}
}

// preferred returns control instances in the order in which they keep a stream's record (rendezvous hashing): the
// same for all entries.
func preferred(replicas []string, k streamorigin.Key) []string {
	out := slices.Clone(replicas)
	weight := func(address string) uint64 { return xxhash.Sum64String(address + string(k[:])) }
	slices.SortFunc(out, func(a, b string) int { return cmp.Or(cmp.Compare(weight(a), weight(b)), cmp.Compare(a, b)) })
	return out
}

// send sends records to one control instance. Those that it does not accept have one copy less.
func (t *Tracker) send(address string, records []streamorigin.Record) {
	ctx, cancel := context.WithTimeout(context.Background(), shareTimeout)
	defer cancel()
	_, err := wire.NewStreamsProtobufClient("http://"+address, t.client).Share(ctx, &wire.ShareRequest{Origins: wire.FromOrigins(records)})
	if err != nil {
		t.Metrics.unshared.Add(float64(len(records)))
		t.Log.Info().Str("event", "streams_not_shared").Str("address", address).Int("streams", len(records)).Str("error", err.Error()).Msg("")
		return
	}
	t.Metrics.shared.Add(float64(len(records)))
}

// Resolve returns where a stream of a service began that a caller resumes.
func (t *Tracker) Resolve(ctx context.Context, k streamorigin.Key, service string) (o streamorigin.Origin, from streamorigin.Source) {
	t.init()
	o, from = streamorigin.Resolve(t.known(k, service))
	for search := 0; from == streamorigin.Unknown && search < 2 && ctx.Err() == nil; search++ {
		if search > 0 {
			time.Sleep(findPause)
		}
		o, from = streamorigin.Resolve(t.find(ctx, k, service))
	}
	t.Metrics.resumed.WithLabelValues(service, string(from)).Inc()
	return o, from
}

// known returns what this entry knows by itself.
func (t *Tracker) known(k streamorigin.Key, service string) streamorigin.Known {
	view, now := t.View(), clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	out := streamorigin.Known{Service: service, Versions: view.SoftwareVersions[service]}
	// An entry that has just started may not know of instances that ended before.
	out.Current = now.Sub(view.KnownAsOf) < streamorigin.FreshTime && now.Sub(t.startedAt) >= streamorigin.Retention
	if o, ok := t.own.Find(k, now); ok {
		out.Own = &o
	}
	return out
}

// find returns what this entry and the control instances know together. It returns early once one has the record.
func (t *Tracker) find(ctx context.Context, k streamorigin.Key, service string) streamorigin.Known {
	out := t.known(k, service)
	if out.Own != nil {
		return out
	}
	versions := map[string]bool{}
	for version := range out.Versions {
		versions[version] = true
	}
	replicas := t.View().Replicas
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	answers := make(chan *wire.FindStreamsResponse, len(replicas))
	for _, address := range replicas {
		go func() {
			answer, err := wire.NewStreamsProtobufClient("http://"+address, t.client).Find(ctx, &wire.FindStreamsRequest{Keys: k[:], Services: []string{service}})
			if err != nil {
				answer = nil
			}
			answers <- answer
		}()
	}
	answered, isRecorded := 0, false
	for range replicas {
		answer := <-answers
		if answer == nil {
			continue
		}
		answered++
		if records, ok := wire.ToOrigins(answer.Origins); ok && len(records) > 0 && records[0].Key == k {
			out.Shared = &records[0].Origin
			return out
		}
		isRecorded = isRecorded || len(answer.Recorded) > 0
		for _, v := range slices.Concat(answer.Versions, answer.Recorded) {
			for _, version := range v.SoftwareVersions {
				versions[version] = true
			}
		}
		if isRecorded && answered > len(replicas)/2 && len(versions) == 1 {
			// Streams begin at recorded versions only, so no record is needed.
			break
		}
	}
	out.Versions, _ = out.Versions.Update(maps.Keys(versions), clock.Now())
	// Control instances that have just started know of no other version. Only the control log is certain.
	out.Current = isRecorded && answered > len(replicas)/2
	return out
}
