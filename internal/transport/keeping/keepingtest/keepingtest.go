// Package keepingtest provides a stand-in of the leader's record of saves, for tests.
package keepingtest

import (
	"context"
	"fmt"
	"sync"

	"github.com/shedrock/shedrock/internal/coordination/keeping"
)

// Saves grants every save that Deny does not deny, and holds what was reported of their ends. It is safe for concurrent
// use.
type Saves struct {
	// Deny, when set, returns the result for a save, and whether it is denied before the leader is asked.
	Deny func(store string, part keeping.Part) (result keeping.SaveResult, ok bool)

	mu    sync.Mutex
	begun []keeping.Save
	ends  map[string]keeping.SaveEnd
}

// Begin grants saves.
func (s *Saves) Begin(_ context.Context, saves []keeping.Save) (holder string, results []keeping.SaveResult, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	holder = fmt.Sprint("holder-", len(s.begun))
	for _, save := range saves {
		save.Holder = holder
		s.begun = append(s.begun, save)
		results = append(results, keeping.SaveGranted)
	}
	return holder, results, nil
}

// End records an end.
func (s *Saves) End(holder string, end keeping.SaveEnd) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ends == nil {
		s.ends = map[string]keeping.SaveEnd{}
	}
	s.ends[holder] = end
}

// Denial returns what Deny returns.
func (s *Saves) Denial(store string, part keeping.Part) (result keeping.SaveResult, ok bool) {
	if s.Deny == nil {
		return 0, false
	}
	return s.Deny(store, part)
}

// Begun returns the saves that were granted.
func (s *Saves) Begun() []keeping.Save {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]keeping.Save(nil), s.begun...)
}

// EndOf returns the end that was reported of a holder's attempt; ok is false if none was.
func (s *Saves) EndOf(holder string) (end keeping.SaveEnd, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	end, ok = s.ends[holder]
	return end, ok
}
