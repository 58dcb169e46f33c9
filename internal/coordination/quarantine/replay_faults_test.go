package quarantine_test

import (
	"slices"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/quarantine"
)

// powerFailure ends several instances at the same moment.
func (r *replay) powerFailure(n int) {
	for _, i := range r.random.Perm(len(r.instances))[:n] {
		if r.instances[i].up {
			r.endInstance(r.instances[i])
		}
	}
}

// partition refuses the connections of one entry to some instances for a while; the instances keep
// running.
func (r *replay) partition(n int, d time.Duration) {
	e := r.entries[r.random.IntN(len(r.entries))]
	for _, i := range r.random.Perm(len(r.instances))[:n] {
		in := r.instances[i]
		e.refused[in] = true
		for _, x := range slices.Clone(in.running) {
			if x.r.entry == e {
				in.remove(x)
				r.breakRun(x, true)
			}
		}
		r.after(d, func() { delete(e.refused, in) })
	}
}

// dropConnections closes the connections of some runs; their instances keep running.
func (r *replay) dropConnections(n int) {
	for _, in := range r.instances {
		for _, x := range slices.Clone(in.running) {
			if n == 0 {
				return
			}
			if _, kills := x.r.kills(); !kills {
				n--
				in.remove(x)
				r.breakRun(x, false)
			}
		}
	}
}

// restartEntry discards an entry's state; before it serves again, it gets the facts of another
// entry.
func (r *replay) restartEntry() {
	i := r.random.IntN(len(r.entries))
	e := r.entries[i]
	e.decider = r.newDecider(i)
	e.answered, e.begun = map[quarantine.Digest]time.Time{}, map[quarantine.Digest]time.Time{}
	other := r.entries[(i+1)%len(r.entries)]
	facts, _ := other.Since(0, other.Len())
	for _, f := range facts {
		e.Merge(f)
	}
}
