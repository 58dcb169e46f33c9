package ledger_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"github.com/shedrock/shedrock/internal/state/command"
	"github.com/shedrock/shedrock/internal/state/ledger"
)

const day = 24 * time.Hour

// log executes commands and restarts the ledger from a snapshot after each.
type log struct {
	t *testing.T
	l *ledger.Ledger
}

func (g *log) execute(at time.Duration, c *command.Command) ledger.Result {
	g.t.Helper()
	c.At = at.Milliseconds()
	data, err := proto.Marshal(c)
	if err != nil {
		g.t.Fatal(err)
	}
	result := g.l.Execute(data)
	b, err := g.l.Marshal()
	if err != nil {
		g.t.Fatal(err)
	}
	g.l, err = ledger.Unmarshal(b)
	if err != nil {
		g.t.Fatal(err)
	}
	return result
}

func (g *log) reserve(at time.Duration, key, holder, body string) string {
	g.t.Helper()
	r := g.execute(at, &command.Command{Body: &command.Command_Reserve{Reserve: &command.Reserve{Team: "t", Key: key, Digest: []byte(body), Holder: holder}}})
	switch r := r.(ledger.Reservation).Result.(type) {
	case ledger.Granted:
		return "granted"
	case ledger.Existing:
		return fmt.Sprint("known ", r.Record.Phase(), " ", r.Record.Holder())
	default:
		return fmt.Sprintf("%T", r)
	}
}

func (g *log) finish(at time.Duration, key, holder string, answered bool) bool {
	c := &command.Finish{Team: "t", Key: key, Holder: holder}
	if answered {
		c.Answer = &command.Answer{Status: 200, Body: []byte("ok"), Kept: true}
	}
	return g.execute(at, &command.Command{Body: &command.Command_Finish{Finish: c}}).(ledger.RecordResult).OK
}

func (g *log) release(at time.Duration, key, holder string) bool {
	return g.execute(at, &command.Command{Body: &command.Command_Release{Release: &command.Release{Team: "t", Key: key, Holder: holder}}}).(ledger.RecordResult).OK
}

func TestRecords(t *testing.T) {
	g := &log{t, ledger.New()}
	got := []any{
		g.reserve(0, "k", "a", "x"),
		g.reserve(0, "k", "a", "x"), // the answer was lost
		g.reserve(0, "k", "b", "x"),
		g.reserve(0, "k", "b", "y"),
		g.release(0, "k", "b"), // not its own
		g.release(0, "k", "a"),
		g.reserve(0, "k", "b", "x"),
		g.finish(0, "k", "a", true), // not its own
		g.reserve(11*time.Minute, "k", "c", "x"),
		g.finish(12*time.Minute, "k", "b", true), // late, but the truth
		g.reserve(12*time.Minute, "k", "c", "x"),
		g.finish(12*time.Minute, "k", "b", false),
		g.release(12*time.Minute, "k", "b"),
		g.reserve(2*day, "k", "d", "x"),   // beyond the retention
		g.reserve(300*day, "k", "d", "x"), // the tombstone still stands
		g.reserve(day, "other", "a", "x"), // time never falls
	}
	want := []any{
		"granted", "granted", "known 1 a", "ledger.BodyMismatch", false, true, "granted", false,
		"known 3 b", true, "known 2 b", false, false, "ledger.Expired", "ledger.Expired", "granted",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatal(diff)
	}
}

// uuid7 is a key that carries a time.
func uuid7(at time.Duration, n int) string {
	hex := fmt.Sprintf("%012x", at.Milliseconds())
	return fmt.Sprintf("%s-%s-7000-8000-%012x", hex[:8], hex[8:], n)
}

// TestDatedKeys are refused by their own time, so nothing is remembered for long.
func TestDatedKeys(t *testing.T) {
	g := &log{t, ledger.New()}
	base := 1000 * day
	old, fresh, future := uuid7(base-25*time.Hour, 1), uuid7(base, 2), uuid7(base+time.Hour, 3)
	got := []string{
		g.reserve(base, old, "a", "x"),
		g.reserve(base, fresh, "a", "x"),
		g.reserve(base, future, "a", "x"),
		g.reserve(base+2*day, fresh, "a", "x"),
		g.reserve(base+900*day, fresh, "a", "x"),
	}
	want := []string{"ledger.Expired", "granted", "ledger.Expired", "ledger.Expired", "ledger.Expired"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatal(diff)
	}
}

func TestTokensOnlyRise(t *testing.T) {
	g := &log{t, ledger.New()}
	for want := uint64(1); want <= 3; want++ {
		r := g.execute(0, &command.Command{Body: &command.Command_TakeToken{TakeToken: &command.TakeToken{Holder: "h"}}})
		if diff := cmp.Diff(ledger.Token{Value: want}, r); diff != "" {
			t.Fatal(diff)
		}
	}
}

// What is required of weights only rises, is never above what was named, and outlives a restart.
func TestRequiredWeightsOnlyRise(t *testing.T) {
	g := &log{t, ledger.New()}
	name := func(version uint64) {
		g.execute(0, &command.Command{Body: &command.Command_NameWeights{NameWeights: &command.NameWeights{Model: "m", Version: version}}})
	}
	require := func(version uint64) uint64 {
		g.execute(0, &command.Command{Body: &command.Command_RequireWeights{RequireWeights: &command.RequireWeights{Model: "m", Version: version}}})
		return g.l.RequiredWeights()["m"]
	}
	name(3)
	got := []uint64{require(2), require(1), require(9)}
	name(4)
	got = append(got, require(3), require(4))
	if diff := cmp.Diff([]uint64{2, 2, 3, 3, 4}, got); diff != "" {
		t.Error(diff)
	}
}

func TestUnknownCommandsChangeNothing(t *testing.T) {
	l := ledger.New()
	for _, data := range [][]byte{nil, []byte("garbage"), {0x08, 0x01}} {
		if _, ok := l.Execute(data).(ledger.Malformed); !ok {
			t.Fatalf("%v was executed", data)
		}
	}
}

// BenchmarkRecordMemory reports the memory of one finished record with a small answer,
// as a service's 200 bytes of JSON.
func BenchmarkRecordMemory(b *testing.B) {
	const records = 100_000
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		l := ledger.New()
		for n := range records {
			key := fmt.Sprintf("order-%030d", n)
			execute := func(c *command.Command) {
				c.At = int64(n)
				data, err := proto.Marshal(c)
				if err != nil {
					b.Fatal(err)
				}
				l.Execute(data)
			}
			execute(&command.Command{Body: &command.Command_Reserve{Reserve: &command.Reserve{Team: "team-100", Key: key, Digest: make([]byte, 32), Holder: fmt.Sprintf("run-%032d-1", n)}}})
			execute(&command.Command{Body: &command.Command_Finish{Finish: &command.Finish{
				Team: "team-100", Key: key, Holder: fmt.Sprintf("run-%032d-1", n),
				Answer: &command.Answer{Status: 200, ContentType: "application/json", Body: make([]byte, 200), Kept: true},
			}}})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/records, "B/record")
		runtime.KeepAlive(l)
	}
}

// What is evacuated is part of the declared state, at a revision of its own, and of the snapshot.
func TestEvacuationsChangeTheDeclaredState(t *testing.T) {
	l := ledger.New()
	evacuate := func(domain string, end bool, seen uint64) {
		c, err := proto.Marshal(&command.Command{Body: &command.Command_Evacuate{Evacuate: &command.Evacuate{Domain: domain, End: end, Seen: seen}}})
		if err != nil {
			t.Fatal(err)
		}
		l.Execute(c)
	}
	evacuate("b", false, 0)
	evacuate("a", false, 0)
	evacuate("a", false, 0)
	evacuate("b", true, 1)
	data, err := l.Marshal()
	if err != nil {
		t.Fatal(err)
	}
	again, err := ledger.Unmarshal(data)
	if err != nil {
		t.Fatal(err)
	}
	for name, l := range map[string]*ledger.Ledger{"first": l, "restored": again} {
		if diff := cmp.Diff([]string{"a"}, l.Declared().EvacuatedDomains()); diff != "" || l.Declared().Revision() != 3 {
			t.Errorf("%s: revision %d, %s", name, l.Declared().Revision(), diff)
		}
		if diff := cmp.Diff(uint64(2), l.Evacuations().Domain("a").Revision); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}

// The pattern: the leader stands still with a reservation that it has not read yet; its holder gives
// up, tells the caller that nothing ran, and takes it back; the leader goes on and finds the two in the
// other order. The key is free for whoever asks next, also after a snapshot.
func TestReservationThatComesAfterItsReleaseHoldsNothing(t *testing.T) {
	l := ledger.New()
	execute := func(body *command.Command) ledger.Result {
		t.Helper()
		data, err := proto.Marshal(body)
		if err != nil {
			t.Fatal(err)
		}
		return l.Execute(data)
	}
	reserve := func(holder string, at int64) ledger.Result {
		return execute(&command.Command{At: at, Body: &command.Command_Reserve{Reserve: &command.Reserve{Team: "t", Key: "k", Digest: []byte("d"), Holder: holder}}})
	}
	start := time.Now().UnixMilli()
	execute(&command.Command{At: start, Body: &command.Command_Release{Release: &command.Release{Team: "t", Key: "k", Holder: "gone"}}})
	data, err := l.Marshal()
	if err != nil {
		t.Fatal(err)
	}
	l, err = ledger.Unmarshal(data)
	if err != nil {
		t.Fatal(err)
	}
	if _, granted := reserve("gone", start+1).(ledger.Reservation).Result.(ledger.Granted); granted {
		t.Error("a reservation was granted whose holder had taken it back")
	}
	if _, granted := reserve("next", start+2).(ledger.Reservation).Result.(ledger.Granted); !granted {
		t.Error("the key is not free")
	}
	execute(&command.Command{At: start, Body: &command.Command_Release{Release: &command.Release{Team: "t", Key: "k", Holder: "next"}}})
	if _, granted := reserve("gone", start+time.Hour.Milliseconds()).(ledger.Reservation).Result.(ledger.Granted); !granted {
		t.Error("a release is remembered for ever")
	}
}
