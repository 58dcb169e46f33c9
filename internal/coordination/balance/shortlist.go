package balance

import "time"

// shortlistSize is how many candidates are evaluated before all of them are. If a quarter of the instances
// is ineligible, all eight are in one of 65,000 choices.
const shortlistSize = 8

// shortlist holds the candidates with the highest scores for a key, by their index, the highest first.
type shortlist struct {
	indexes [shortlistSize]int
	scores  [shortlistSize]uint64
	n       int
}

// fill makes the shortlist of some candidates, given the hashes of their ids.
func (s *shortlist) fill(hashes []uint64, key uint64) {
	s.n = 0
	lowest := uint64(0)
	for i, hash := range hashes {
		if x := Score(hash, key); s.n < shortlistSize || x > lowest {
			s.insert(i, x)
			lowest = s.scores[s.n-1]
		}
	}
}

// insert adds a candidate, in place of the last one if the list is full.
func (s *shortlist) insert(index int, score uint64) {
	if s.n < shortlistSize {
		s.n++
	}
	at := s.n - 1
	for at > 0 && s.scores[at-1] < score {
		s.indexes[at], s.scores[at] = s.indexes[at-1], s.scores[at-1]
		at--
	}
	s.indexes[at], s.scores[at] = index, score
}

// pickFromShortlist makes the same choice for a key as pickFromAll, but evaluates a few candidates only.
// ok is false if all of them must be evaluated. The choice must have been prepared.
func (b *Balancer) pickFromShortlist(set *candidateSet, info PickInfo, now time.Time) (chosen *candidate, ok bool) {
	if info.Key == 0 || len(info.Failing) > 0 || !set.allHave(info.Model, info.Weights) {
		return nil, false
	}
	b.scratch.probe = nil
	list := &b.scratch.shortlist
	list.fill(set.hashes, info.Key)
	for _, i := range list.indexes[:list.n] {
		c := &set.candidates[i]
		if c.eligibility(info, now) != healthy || !c.hasRoom(info, now) {
			continue
		}
		// An idle instance is below any bound on its load.
		return c, c.load.inFlight == 0
	}
	return nil, false
}

// hasRoom reports whether a candidate has room for a request, or no loads are known.
func (c *candidate) hasRoom(info PickInfo, now time.Time) bool {
	if info.Memory == 0 || len(info.Loads) == 0 {
		return true
	}
	_, _, fits := c.room(info, now)
	return fits
}
