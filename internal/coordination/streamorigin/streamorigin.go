// Package streamorigin decides at which software version a stream may go on. What two versions of an instance's
// software write does not fit together, so a stream that has begun continues at the version that began it, or
// ends.
//
// A caller may resume a stream at any entry. While a service has a single version, every entry knows the answer.
// As soon as there are two, entries share where their streams began; where that is not known, the stream
// does not go on.
package streamorigin

import (
	"crypto/sha256"
	"encoding/binary"
	"time"
)

const (
	// Retention is how long the origin of a stream is kept after it began or was resumed. Callers resume a
	// stream within their deadline, which is seconds after its beginning.
	Retention = 30 * time.Second
	// refreshAfter is the age from which a resumed stream's origin is kept anew.
	refreshAfter = Retention / 2
	// SettleTime is how long after an entry has learned of a further software version streams do not begin
	// there, while instances of another version are usable. Until then the other entries learn of it, and
	// the origins of earlier streams are shared.
	SettleTime = time.Second
	// FreshTime is how old an entry's knowledge of the software versions may be so that it concludes from it
	// without asking control instances: it would know of any version that others know for SettleTime.
	FreshTime = SettleTime * 9 / 10
)

// KeySize is the length of a Key in bytes.
const KeySize = 16

// Key identifies a stream in the whole fleet. It is truncated from a cryptographic hash, so that no caller can
// name a stream of another team.
type Key [KeySize]byte

// KeyOf returns the key of the stream whose first event came with the request that has the given id.
func KeyOf(team, id string) Key {
	h := sha256.New()
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(team)))
	_, _ = h.Write(size[:])
	_, _ = h.Write([]byte(team))
	_, _ = h.Write([]byte(id))
	return Key(h.Sum(nil)[:KeySize])
}

// Origin is where a stream began. The zero value stands for several origins: a caller used one id twice.
type Origin struct{ Service, SoftwareVersion string }

// Record is the origin of one stream. It never changes, as a stream stays at its version after its first event.
type Record struct {
	Key    Key
	Origin Origin
}

// Table holds the origins of streams for Retention. It is not safe for concurrent use.
type Table struct {
	// Max is the largest number of records. The oldest is dropped for a new one.
	Max int

	origins map[Key]kept
	// order holds the keys in the order in which they were added, oldest first, from first on. An element
	// whose time differs from that of its key is outdated.
	order []added
	first int
}

type kept struct {
	origin Origin
	at     time.Time
}

type added struct {
	key Key
	at  time.Time
}

// Add keeps a record from now on. A record that is kept already, and not long since, is left as it is. Of two different
// origins none is kept.
func (t *Table) Add(r Record, now time.Time) {
	if t.origins == nil {
		t.origins = map[Key]kept{}
	}
	t.expire(now)
	known, ok := t.origins[r.Key]
	if ok && known.origin != r.Origin {
		r.Origin = Origin{}
		t.origins[r.Key] = kept{r.Origin, known.at}
	}
	if ok && now.Sub(known.at) < refreshAfter {
		return
	}
	for !ok && len(t.origins) >= t.Max {
		t.dropOldest()
	}
	t.origins[r.Key] = kept{r.Origin, now}
	t.order = append(t.order, added{r.Key, now})
}

// Find returns the origin of a stream.
func (t *Table) Find(k Key, now time.Time) (o Origin, ok bool) {
	known, ok := t.origins[k]
	if !ok || now.Sub(known.at) >= Retention {
		return Origin{}, false
	}
	return known.origin, true
}

// OfService returns the records of the streams that began at a service.
func (t *Table) OfService(service string, now time.Time) []Record {
	t.expire(now)
	var out []Record
	for _, a := range t.order[t.first:] {
		known, ok := t.origins[a.key]
		if ok && known.at.Equal(a.at) && known.origin.Service == service {
			out = append(out, Record{a.key, known.origin})
		}
	}
	return out
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.origins) }

func (t *Table) expire(now time.Time) {
	for t.first < len(t.order) && now.Sub(t.order[t.first].at) >= Retention {
		t.dropOldest()
	}
}

// dropOldest removes the oldest element of order, with its record unless that was added again since.
func (t *Table) dropOldest() {
	oldest := t.order[t.first]
	if t.origins[oldest.key].at.Equal(oldest.at) {
		delete(t.origins, oldest.key)
	}
	t.first++
	if t.first > len(t.order)/2 {
		t.order = append([]added(nil), t.order[t.first:]...)
		t.first = 0
	}
}
