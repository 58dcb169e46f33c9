package ledger

import (
	"cmp"
	"maps"
	"slices"

	"github.com/shedrock/shedrock/internal/state/command"
)

func keyOf(s *command.Save) saveKey { return saveKey{s.Store, s.Salt, s.Part} }

// beginSaves records saves, but no second one of the same part and store.
func (l *Ledger) beginSaves(c *command.BeginSaves) BegunSaves {
	var out BegunSaves
	for _, s := range c.Saves {
		known := l.saves[keyOf(s)]
		isRecorded := known == nil || known.Holder == s.Holder
		if isRecorded {
			l.saves[keyOf(s)] = s
		}
		out.Recorded = append(out.Recorded, isRecorded)
	}
	return out
}

// endSaves removes saves, unless another holder has one of the same part and store.
func (l *Ledger) endSaves(c *command.EndSaves) EndedSaves {
	for _, s := range c.Saves {
		if known := l.saves[keyOf(s)]; known != nil && known.Holder == s.Holder {
			delete(l.saves, keyOf(s))
		}
	}
	return EndedSaves{}
}

// Saves returns the saves that may still be written, in a fixed order, and whether no others may be.
func (l *Ledger) Saves() (saves []*command.Save, allRecorded bool) {
	keys := slices.SortedFunc(maps.Keys(l.saves), func(a, b saveKey) int {
		return cmp.Or(cmp.Compare(a.store, b.store), cmp.Compare(a.salt, b.salt), cmp.Compare(a.part, b.part))
	})
	for _, k := range keys {
		saves = append(saves, l.saves[k])
	}
	return saves, l.savesRecorded
}
