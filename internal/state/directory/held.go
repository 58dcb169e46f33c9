package directory

// storeTeam identifies the objects of one team in one store.
type storeTeam struct{ store, team uint16 }

// objectList is the linked list of the contexts with objects of one storeTeam, from the least to the most
// recently used one, with the number of their blocks.
type objectList struct {
	oldest, newest *context
	blocks         int
}

func (h *objectList) add(c *context) {
	c.lessRecent = h.newest
	c.moreRecent = nil
	if h.newest != nil {
		h.newest.moreRecent = c
	} else {
		h.oldest = c
	}
	h.newest = c
	h.blocks += int(c.object.Blocks)
}

func (h *objectList) remove(c *context) {
	if c.lessRecent != nil {
		c.lessRecent.moreRecent = c.moreRecent
	} else {
		h.oldest = c.moreRecent
	}
	if c.moreRecent != nil {
		c.moreRecent.lessRecent = c.lessRecent
	} else {
		h.newest = c.lessRecent
	}
	c.lessRecent = nil
	c.moreRecent = nil
	h.blocks -= int(c.object.Blocks)
}

// setObject changes a context's object and updates the object lists.
func (d *Directory) setObject(c *context, o Object) {
	if c.object.Store != 0 {
		key := storeTeam{c.object.Store, c.team}
		d.objects[key].remove(c)
		if d.objects[key].oldest == nil {
			delete(d.objects, key)
		}
	}
	c.object = o
	if o.Store == 0 {
		return
	}
	key := storeTeam{o.Store, c.team}
	if d.objects[key] == nil {
		d.objects[key] = &objectList{}
	}
	d.objects[key].add(c)
}

// refresh moves a context to the most recent end of its object list.
func (d *Directory) refresh(c *context) {
	if c.object.Store == 0 {
		return
	}
	h := d.objects[storeTeam{c.object.Store, c.team}]
	if h.newest != c {
		h.remove(c)
		h.add(c)
	}
}

// BlocksByTeam returns the number of blocks that each team has in a store, by team number.
func (d *Directory) BlocksByTeam(store uint16) map[uint16]int {
	out := map[uint16]int{}
	for key, h := range d.objects {
		if key.store == store {
			out[key.team] = h.blocks
		}
	}
	return out
}

// EvictLeastRecentlyUsed removes the least recently used objects of a store until they amount to the
// given number of blocks, and returns them. Teams that hold no more than their guaranteed blocks
// are skipped.
func (d *Directory) EvictLeastRecentlyUsed(store uint16, blocks int, guaranteed map[uint16]int) []Object {
	var out []Object
	for blocks > 0 {
		var oldest *context
		for key, h := range d.objects {
			if key.store == store && h.blocks > guaranteed[key.team] && (oldest == nil || h.oldest.lastUseNumber < oldest.lastUseNumber) {
				oldest = h.oldest
			}
		}
		if oldest == nil {
			break
		}
		out = append(out, oldest.object)
		blocks -= int(oldest.object.Blocks)
		d.setObject(oldest, Object{})
	}
	return out
}
