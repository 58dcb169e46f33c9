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

// OpenEpochs returns a copy of the epochs in which stores were last known to be open for saves, by the
// stores' addresses.
func (l *Ledger) OpenEpochs() map[string]uint64 { return maps.Clone(l.openEpochs) }

// openStore records the epoch in which a store was open. A late command may replace a newer epoch by an
// older one: what it says remains true, and a store is not taken for open by an epoch that is not its own.
func (l *Ledger) openStore(c *command.OpenStore) OpenedStore {
	if c.Epoch == 0 {
		delete(l.openEpochs, c.Address)
	} else {
		l.openEpochs[c.Address] = c.Epoch
	}
	return OpenedStore{c.Address, c.Epoch}
}
