package ledger

import (
	"maps"
	"slices"

	"github.com/shedrock/shedrock/internal/state/command"
)

// Software returns a copy of the recorded software versions, in order, by their services.
func (l *Ledger) Software() map[string][]string { return maps.Clone(l.software) }

// recordSoftware records the software versions of a service, or forgets the service if there are none.
func (l *Ledger) recordSoftware(c *command.RecordSoftware) RecordedSoftware {
	if len(c.Versions) == 0 {
		delete(l.software, c.Service)
	} else {
		l.software[c.Service] = slices.Sorted(slices.Values(c.Versions))
	}
	return RecordedSoftware{c.Service, c.Versions}
}
