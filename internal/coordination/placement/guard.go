package placement

import "github.com/shedrock/shedrock/internal/state/declared"

// guaranteedShare is the part of its share of a full store that a team keeps, independent of the
// other teams. The rest is distributed by last use, so that space follows demand.
const guaranteedShare = 0.8

// teamNumber returns the number of a team in the directory.
func (b *Planner) teamNumber(name string) uint16 {
	n, ok := b.teams[name]
	if !ok {
		n = uint16(len(b.teams))
		b.teams[name] = n
		b.shares = append(b.shares, 1)
	}
	return n
}

// applyTeams updates the shares of the teams.
func (b *Planner) applyTeams(s *declared.State) {
	for name, n := range b.teams {
		b.shares[n] = 1
		if t, ok := s.Team(name); ok {
			b.shares[n] = t.Share()
		}
	}
}

// guaranteedBlocks returns how many blocks of a store each team is guaranteed: a part of its share
// of what this planner's partitions of the directory hold there. Only teams that hold something
// count.
func (b *Planner) guaranteedBlocks(store uint16) map[uint16]int {
	held := b.directory.Held(store)
	blocks, shares := 0, 0.0
	for team, n := range held {
		blocks += n
		shares += b.shares[team]
	}
	out := map[uint16]int{}
	for team := range held {
		out[team] = int(guaranteedShare * float64(blocks) * b.shares[team] / shares)
	}
	return out
}

// EvictObjects removes the least recently used objects of a store from the directory, until they
// amount to a number of blocks, and returns them so that the store can free them. Only objects of
// teams that hold more than their guaranteed blocks are evicted.
func (b *Planner) EvictObjects(address string, blocks int) []StoredObject {
	n := uint16(b.storeNumber(address) + 1)
	var out []StoredObject
	for _, o := range b.directory.StalestObjects(n, blocks, b.guaranteedBlocks(n)) {
		out = append(out, *b.storedObject(o, 0))
	}
	return out
}
