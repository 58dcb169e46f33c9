package streamorigin_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/coordination/streamorigin"
)

var (
	start  = time.Unix(1e9, 0)
	first  = streamorigin.Origin{Service: "s", SoftwareVersion: "v1"}
	second = streamorigin.Origin{Service: "s", SoftwareVersion: "v2"}
)

// Guards against a caller that takes up another team's stream, or one whose team and id run together.
func TestKeysOfTeamsDiffer(t *testing.T) {
	keys := map[streamorigin.Key]bool{}
	for _, k := range [][2]string{{"a", "b"}, {"ab", ""}, {"", "ab"}, {"b", "a"}} {
		keys[streamorigin.KeyOf(k[0], k[1])] = true
	}
	if len(keys) != 4 {
		t.Errorf("%d keys of 4 streams", len(keys))
	}
}

// Guards against origins that are concluded from versions that may be outdated, and against a guess where nothing is known.
func TestResolve(t *testing.T) {
	one, two := streamorigin.Versions{"v1": start}, streamorigin.Versions{"v1": start, "v2": start}
	cases := []struct {
		name  string
		known streamorigin.Known
		want  streamorigin.Origin
		from  streamorigin.Source
	}{
		{"nothing is known", streamorigin.Known{Service: "s", Current: true}, streamorigin.Origin{}, streamorigin.Unknown},
		{"one version", streamorigin.Known{Service: "s", Versions: one, Current: true}, first, streamorigin.SoleVersion},
		{"one version, perhaps outdated", streamorigin.Known{Service: "s", Versions: one}, streamorigin.Origin{}, streamorigin.Unknown},
		{"two versions", streamorigin.Known{Service: "s", Versions: two, Current: true}, streamorigin.Origin{}, streamorigin.Unknown},
		{"an own record beside one version", streamorigin.Known{Service: "s", Versions: one, Current: true, Own: &second}, second, streamorigin.OwnRecord},
		{"a shared record", streamorigin.Known{Service: "s", Versions: two, Shared: &second}, second, streamorigin.SharedRecord},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, from := streamorigin.Resolve(c.known)
			if diff := cmp.Diff(c.want, got); diff != "" || from != c.from {
				t.Error(diff, from)
			}
		})
	}
}

// Guards against streams that begin at a further version before other entries know of it.
func TestFurtherVersionSettles(t *testing.T) {
	versions, changed := streamorigin.Versions(nil).Update(slices.Values([]string{"v1"}), start)
	if !changed || !versions.Settled("v1", time.Time{}, start) {
		t.Error("the only version does not serve at once")
	}
	later := start.Add(time.Minute)
	versions, _ = versions.Update(slices.Values([]string{"v1", "v2"}), later)
	settled := later.Add(streamorigin.SettleTime)
	for _, c := range []struct {
		version            string
		connectedSince, at time.Time
		want               bool
	}{
		{"v1", time.Time{}, later, true}, {"v2", time.Time{}, later, false}, {"v2", time.Time{}, settled.Add(-1), false},
		{"v2", time.Time{}, settled, true}, {"v2", settled, settled, false}, {"v3", time.Time{}, settled, false},
	} {
		if got := versions.Settled(c.version, c.connectedSince, c.at); got != c.want {
			t.Errorf("%s at %s: settled %t", c.version, c.at.Sub(later), got)
		}
	}
	same, changed := versions.Update(slices.Values([]string{"v1", "v2"}), settled)
	if diff := cmp.Diff(versions, same); diff != "" || changed {
		t.Error(diff, changed)
	}
	back, changed := versions.Update(slices.Values([]string{"v2"}), settled)
	if version, sole := back.Sole(); !changed || !sole || version != "v2" {
		t.Errorf("sole %t, version %q", sole, version)
	}
}

// Guards against records that callers make a table hold without bound, or for ever.
func TestTableIsBounded(t *testing.T) {
	const most = 100
	table := streamorigin.Table{Max: most}
	key := func(n int) streamorigin.Key { return streamorigin.KeyOf("a", fmt.Sprint(n)) }
	now := start
	for n := range 10 * most {
		now = now.Add(time.Millisecond)
		table.Add(streamorigin.Record{Key: key(n), Origin: first}, now)
	}
	_, oldest := table.Find(key(9*most-1), now)
	_, newest := table.Find(key(10*most-1), now)
	if table.Len() != most || oldest || !newest {
		t.Errorf("%d records, oldest %t, newest %t", table.Len(), oldest, newest)
	}
	kept := key(10*most - 1)
	for range 2 {
		now = now.Add(streamorigin.Retention - time.Millisecond)
		table.Add(streamorigin.Record{Key: kept, Origin: first}, now)
	}
	if _, ok := table.Find(kept, now); !ok || table.Len() != 1 {
		t.Errorf("%d records, the one of a resumed stream is found: %t", table.Len(), ok)
	}
	now = now.Add(streamorigin.Retention)
	if _, ok := table.Find(kept, now); ok || len(table.OfService("s", now)) != 0 {
		t.Error("a record outlasts its time")
	}
	for range 10 * most {
		now = now.Add(time.Millisecond)
		table.Add(streamorigin.Record{Key: kept, Origin: first}, now)
	}
	if got := len(table.OfService("s", now)); got != 1 {
		t.Errorf("%d records of one stream", got)
	}
}

// Guards against a guess between two streams that a caller began under the same id at two versions.
func TestAmbiguousIDsAreNotGuessed(t *testing.T) {
	table := streamorigin.Table{Max: 10}
	key := streamorigin.KeyOf("a", "twice")
	for _, o := range []streamorigin.Origin{first, second, first} {
		table.Add(streamorigin.Record{Key: key, Origin: o}, start)
	}
	found, ok := table.Find(key, start)
	if !ok {
		t.Fatal("the record is gone")
	}
	for _, known := range []streamorigin.Known{{Own: &found}, {Shared: &found}, {Own: &found, Shared: &first}} {
		if o, from := streamorigin.Resolve(known); from != streamorigin.Unknown {
			t.Errorf("%v by %s", o, from)
		}
	}
}
