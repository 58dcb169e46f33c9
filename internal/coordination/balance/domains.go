package balance

import (
	"time"

	"github.com/shedrock/shedrock/internal/state/registry"
)

const (
	// darkAfter is how long nothing may be heard of a failure domain in which instances keep
	// requests without a word, or cannot be reached, until all of it counts as cut off. A
	// sound engine was quiet for up to 0.7 s on a calm day; that two are, and nothing of the
	// others there is heard meanwhile, was not seen.
	darkAfter = 500 * time.Millisecond
	// darkWitnesses is how many instances must show it: one alone may be ill itself.
	darkWitnesses = 2
	// quietTimes is how many times its usual latency an instance may be without a word before
	// it is a witness.
	quietTimes = 3
	// probeEvery is how often a request that may run again elsewhere is let through to a
	// domain that is cut off, and probeOnceEvery how often any other is.
	probeEvery     = time.Second
	probeOnceEvery = 4 * time.Second
)

// domain is what is known of a failure domain. Each instance in a cut costs a request or a
// timeout of connecting until it is known by itself; one that is known to be in a domain that
// is cut off costs none.
type domain struct {
	// heard is when any instance there last said a word.
	heard time.Time
	// unreached holds the instances with which time ran out since then.
	unreached map[registry.Incarnation]bool
	// probed is when a request was last let through while it was cut off.
	probed time.Time
	name   string
	// evacuated says that its instances get no request, and coldUntil until when they count as cold.
	evacuated bool
	coldUntil time.Time
	// witnesses and dark are of the choice that is under way: how many instances show that the
	// domain is cut off, and whether it counts as that.
	witnesses int
	dark      bool
}

func (b *Balancer) domain(name string) *domain {
	d, ok := b.domains[name]
	if !ok {
		d = &domain{name: name, unreached: map[registry.Incarnation]bool{}}
		b.domains[name] = d
	}
	return d
}

func (d *domain) hear(now time.Time) {
	d.heard = now
	clear(d.unreached)
}

// markEvacuated notes which failure domains are evacuated, and which ones return: their instances may
// have turned cold lately, and look idle beside all others.
func (r *roster) markEvacuated(w PickInfo) {
	for _, d := range r.domains {
		_, d.evacuated = w.Evacuated[d.name]
		d.coldUntil = time.Time{}
		if since, ok := w.Returned[d.name]; ok {
			d.coldUntil = since.Add(w.ColdFor)
		}
	}
}

// markDark notes which failure domains count as cut off, without those to which the request may be
// let through. All of a deployment never does.
func (r *roster) markDark(w PickInfo, now time.Time) {
	quiet := false
	for _, d := range r.domains {
		d.witnesses, d.dark = 0, false
		quiet = quiet || d.quiet(now)
	}
	if !quiet {
		return
	}
	for i := range r.candidates {
		c := &r.candidates[i]
		if !c.domain.evacuated && c.domain.quiet(now) && (c.domain.unreached[c.in.Incarnation()] || c.load.quiet(now)) {
			c.domain.witnesses++
		}
	}
	cut := 0
	for _, d := range r.domains {
		if d.evacuated {
			cut++
			continue
		}
		d.dark = d.witnesses >= darkWitnesses && now.Sub(d.probed) < w.probes()
		if d.dark {
			cut++
		}
	}
	if cut < len(r.domains) {
		return
	}
	for _, d := range r.domains {
		d.dark = false
	}
}

// quiet reports whether nothing was heard of a failure domain lately.
func (d *domain) quiet(now time.Time) bool { return now.Sub(d.heard) >= darkAfter }

// probes is how long after the last probe a request is let through.
func (w PickInfo) probes() time.Duration {
	if w.Retryable {
		return probeEvery
	}
	return probeOnceEvery
}

// quiet reports whether an instance keeps requests and has been without a word for longer
// than is usual for it.
func (l *load) quiet(now time.Time) bool {
	return l.wordless(now, darkAfter, quietTimes)
}
