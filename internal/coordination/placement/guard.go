package placement

import "github.com/shedrock/shedrock/internal/state/declared"

// guardShare is the part of its share of a full store that a team keeps, whatever the
// others do. The rest goes to whoever used it last, so that space follows need.
const guardShare = 0.8

// team returns the number by which the directory knows a team.
func (b *Planner) team(name string) uint16 {
	n, ok := b.teams[name]
	if !ok {
		n = uint16(len(b.teams))
		b.teams[name] = n
		b.shares = append(b.shares, 1)
	}
	return n
}

// declareTeams takes the shares of teams.
func (b *Planner) declareTeams(s *declared.State) {
	for name, n := range b.teams {
		b.shares[n] = 1
		if t, ok := s.Team(name); ok {
			b.shares[n] = t.Share()
		}
	}
}

// guards returns how many blocks of a store each team keeps: a part of its share of what
// this board's part of the directory holds there. Only teams that hold something count.
func (b *Planner) guards(store uint16) map[uint16]int {
	held := b.directory.Held(store)
	blocks, shares := 0, 0.0
	for team, n := range held {
		blocks += n
		shares += b.shares[team]
	}
	out := map[uint16]int{}
	for team := range held {
		out[team] = int(guardShare * float64(blocks) * b.shares[team] / shares)
	}
	return out
}

// EvictObjects takes the least useful objects of a store out of the directory, until
// they hold a number of blocks, and returns them, to be freed. The order is by
// last use: the contexts of this board that were asked for longest ago, of teams that
// hold more than their guard.
func (b *Planner) EvictObjects(address string, blocks int) []StoredObject {
	n := uint16(b.storeNumber(address) + 1)
	var out []StoredObject
	for _, o := range b.directory.StalestObjects(n, blocks, b.guards(n)) {
		out = append(out, *b.kept(o, 0))
	}
	return out
}
