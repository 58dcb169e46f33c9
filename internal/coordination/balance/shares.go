package balance

const (
	// randomShare is the part of the refusal limit that may be used by requests that meet at random, and loadStep the
	// precision of the load at which they do.
	randomShare = 0.125
	loadStep    = 0.05
)

// dealtSlots is how the slots of a list of instances are dealt out to entries.
type dealtSlots struct {
	// entries and rank are those for which the slots were counted.
	entries, rank int
	// slots is the number of slots of all instances, and own how many of them are dealt out to this entry.
	slots, own int
	// leftOver is the number of entries that get none, and reserved how many slots of each instance are kept for them.
	leftOver, reserved int
}

// dealtSlots returns how the slots are dealt out to the entries that a request names.
func (set *candidateSet) dealtSlots(info PickInfo) dealtSlots {
	if set.dealt.slots > 0 && set.dealt.entries == info.Entries && set.dealt.rank == info.Rank {
		return set.dealt
	}
	d := dealtSlots{entries: info.Entries, rank: info.Rank}
	for i := range set.candidates {
		d.slots += set.candidates[i].slots()
	}
	d.leftOver = set.leftOver(info, 0)
	if entries := max(info.Entries, 1); d.leftOver > 0 && d.slots >= entries {
		perInstance := d.slots / len(set.candidates)
		d.reserved = (perInstance*d.leftOver + entries - 1) / entries
		d.leftOver = set.leftOver(info, d.reserved)
	}
	for i := range set.candidates {
		c := &set.candidates[i]
		d.own += info.quota(c.slots()-d.reserved, c.hash)
	}
	set.dealt = d
	return d
}

// leftOver returns the number of entries that get no slot if some of each instance are reserved.
func (set *candidateSet) leftOver(info PickInfo, reserved int) int {
	entries := max(info.Entries, 1)
	got := make([]bool, entries)
	left := entries
	for i := range set.candidates {
		c := &set.candidates[i]
		first := firstRank(c.hash, entries)
		for n := range min(c.slots()-reserved, entries) {
			if rank := (first + n) % entries; !got[rank] {
				got[rank] = true
				left--
			}
		}
		if left == 0 {
			break
		}
	}
	return left
}

func (c *candidate) slots() int { return max(c.in.Slots, 1) }

// windowShare returns this entry's share of an instance's slots, and among how many entries they are shared. The slots
// are dealt out by rank. Where entries get none in that way, some of each instance are reserved for them, and where there are
// more entries than slots, all are: these entries have equal parts of them.
func (c *candidate) windowShare(info PickInfo, limit float64) (share, sharers float64) {
	f, entries := info.fragility, float64(max(info.Entries, 1))
	switch {
	case float64(f.slots) < entries:
		return randomLoad(c.slots(), f.latency, limit) * float64(c.slots()) / entries, entries
	case f.own == 0:
		left := float64(max(f.leftOver, 1))
		return randomLoad(f.reserved, f.latency, limit) * float64(f.reserved) / left, left
	}
	return float64(info.quota(c.slots()-f.reserved, c.hash)), min(entries, float64(c.slots()))
}

// randomLoad returns the part of an instance's slots that may be in use when requests meet there at random, each for a
// time in seconds, so that few enough are refused: by the Erlang loss formula, with one place to wait.
func randomLoad(slots int, duration, limit float64) (load float64) {
	for load = 1 - loadStep; load > loadStep; load -= loadStep {
		erlangs, blocked := load*float64(slots), 1.0
		for servers := 1; servers <= slots+1; servers++ {
			blocked = erlangs * blocked / (float64(servers) + erlangs*blocked)
		}
		if erlangs/duration*blocked <= randomShare*limit {
			break
		}
	}
	return load
}
