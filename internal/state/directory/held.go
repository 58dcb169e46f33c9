package directory

// holding is one team's part of one store.
type holding struct{ store, team uint16 }

// held lists the contexts of a holding that have objects, from stalest to freshest use,
// and counts their blocks.
type held struct {
	stalest, freshest *context
	blocks            int
}

func (h *held) add(c *context) {
	c.staler = h.freshest
	c.fresher = nil
	if h.freshest != nil {
		h.freshest.fresher = c
	} else {
		h.stalest = c
	}
	h.freshest = c
	h.blocks += int(c.object.Blocks)
}

func (h *held) remove(c *context) {
	if c.staler != nil {
		c.staler.fresher = c.fresher
	} else {
		h.stalest = c.fresher
	}
	if c.fresher != nil {
		c.fresher.staler = c.staler
	} else {
		h.freshest = c.staler
	}
	c.staler = nil
	c.fresher = nil
	h.blocks -= int(c.object.Blocks)
}

// setObject changes a context's object, and the lists of what teams hold.
func (d *Directory) setObject(c *context, o Object) {
	if c.object.Store != 0 {
		key := holding{c.object.Store, c.team}
		d.held[key].remove(c)
		if d.held[key].stalest == nil {
			delete(d.held, key)
		}
	}
	c.object = o
	if o.Store == 0 {
		return
	}
	key := holding{o.Store, c.team}
	if d.held[key] == nil {
		d.held[key] = &held{}
	}
	d.held[key].add(c)
}

// refresh makes a context the freshest of its holding.
func (d *Directory) refresh(c *context) {
	if c.object.Store == 0 {
		return
	}
	h := d.held[holding{c.object.Store, c.team}]
	if h.freshest != c {
		h.remove(c)
		h.add(c)
	}
}

// BlocksByTeam returns how many blocks of a store each team holds, by team number.
func (d *Directory) BlocksByTeam(store uint16) map[uint16]int {
	out := map[uint16]int{}
	for key, h := range d.held {
		if key.store == store {
			out[key.team] = h.blocks
		}
	}
	return out
}

// EvictLeastRecentlyUsed forgets the objects of a store whose contexts were used longest ago,
// until they hold a number of blocks, and returns them. A team that holds no more than
// its guard is passed over.
func (d *Directory) EvictLeastRecentlyUsed(store uint16, blocks int, guards map[uint16]int) []Object {
	var out []Object
	for blocks > 0 {
		var stalest *context
		for key, h := range d.held {
			if key.store == store && h.blocks > guards[key.team] && (stalest == nil || h.stalest.turn < stalest.turn) {
				stalest = h.stalest
			}
		}
		if stalest == nil {
			break
		}
		out = append(out, stalest.object)
		blocks -= int(stalest.object.Blocks)
		d.setObject(stalest, Object{})
	}
	return out
}
