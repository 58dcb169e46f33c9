package placement

import "github.com/shedrock/shedrock/internal/state/declared"

// guaranteedShare is the part of its share of a full store that a team keeps, independent of the
// other teams. The rest is distributed by last use, so that space follows demand.
const guaranteedShare = 0.8

// teamNumber returns the number of a team in the directory.
func (pl *Planner) teamNumber(name string) uint16 {
	n, ok := pl.teams[name]
	if !ok {
		n = uint16(len(pl.teams))
		pl.teams[name] = n
		pl.shares = append(pl.shares, 1)
	}
	return n
}

// applyTeams updates the shares of the teams.
func (pl *Planner) applyTeams(s *declared.State) {
	for name, n := range pl.teams {
		pl.shares[n] = 1
		if t, ok := s.Team(name); ok {
			pl.shares[n] = t.Share()
		}
	}
}

// guaranteedBlocks returns how many blocks of a store each team is guaranteed: a part of its share
// of what this planner's partitions of the directory hold there. Only teams that hold something
// count.
func (pl *Planner) guaranteedBlocks(store uint16) map[uint16]int {
	held := pl.directory.BlocksByTeam(store)
	blocks, shares := 0, 0.0
	for team, n := range held {
		blocks += n
		shares += pl.shares[team]
	}
	out := map[uint16]int{}
	for team := range held {
		out[team] = int(guaranteedShare * float64(blocks) * pl.shares[team] / shares)
	}
	return out
}

// EvictObjects removes the least recently used objects of a store from the directory, until they
// amount to a number of blocks, and returns them so that the store can free them. Only objects of
// teams that hold more than their guaranteed blocks are evicted.
func (pl *Planner) EvictObjects(address string, blocks int) []StoredObject {
	n := uint16(pl.storeNumber(address) + 1)
	var out []StoredObject
	for _, o := range pl.directory.EvictLeastRecentlyUsed(n, blocks, pl.guaranteedBlocks(n)) {
		out = append(out, *pl.storedObject(o, 0))
	}
	return out
}
