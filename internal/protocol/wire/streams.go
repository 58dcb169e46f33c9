package wire

import "github.com/shedrock/shedrock/internal/coordination/streamorigin"

// FromOrigins gives the wire form of records: the keys of each origin together.
func FromOrigins(records []streamorigin.Record) []*StreamOrigin {
	var out []*StreamOrigin
	known := map[streamorigin.Origin]*StreamOrigin{}
	for _, r := range records {
		m := known[r.Origin]
		if m == nil {
			m = &StreamOrigin{Service: r.Origin.Service, SoftwareVersion: r.Origin.SoftwareVersion}
			known[r.Origin] = m
			out = append(out, m)
		}
		m.Keys = append(m.Keys, r.Key[:]...)
	}
	return out
}

// ToOrigins is the inverse of FromOrigins; ok is false if keys are malformed.
func ToOrigins(in []*StreamOrigin) (records []streamorigin.Record, ok bool) {
	for _, m := range in {
		keys, ok := ToStreamKeys(m.Keys)
		if !ok {
			return nil, false
		}
		for _, k := range keys {
			records = append(records, streamorigin.Record{Key: k, Origin: streamorigin.Origin{Service: m.Service, SoftwareVersion: m.SoftwareVersion}})
		}
	}
	return records, true
}

// ToStreamKeys splits keys that are written one after the other; ok is false unless all have their length.
func ToStreamKeys(in []byte) (keys []streamorigin.Key, ok bool) {
	if len(in)%streamorigin.KeySize != 0 {
		return nil, false
	}
	for ; len(in) > 0; in = in[streamorigin.KeySize:] {
		keys = append(keys, streamorigin.Key(in[:streamorigin.KeySize]))
	}
	return keys, true
}
