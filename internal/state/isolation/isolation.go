// Package isolation tracks since which version of the configuration teams share cached context.
//
// Cached context names no team. So what a team made while it shared is separated from the other
// teams once it becomes isolated: from that version on, no team uses shared context that was made
// under an earlier one.
//
// The invariant: after the installation of version V, Since is at least the last version up to V that
// isolated a team which had shared before, and at most V. Any two versions in this range never give the
// same value to configurations between which a sharing team became isolated. So processes that derive
// different values, for example of different software versions, share less but nothing that they must not.
package isolation

import (
	"iter"
	"maps"
	"slices"
)

// spareNameBytes is how many bytes of names of earlier teams are kept in any case.
const spareNameBytes = 1 << 20

// Teams holds the names of the teams of one configuration by whether they share cached context.
type Teams struct{ Sharing, Isolated []string }

// Reason is why shared context was separated, as logs name it.
type Reason string

// The reasons for a separation.
const (
	// ReasonFirst is for the first configuration.
	ReasonFirst Reason = "first_configuration"
	// ReasonIsolated is for a team that became isolated after it had shared.
	ReasonIsolated Reason = "team_isolated"
	// ReasonUnknown is for a configuration that isolates teams of which it is not known whether they have shared.
	ReasonUnknown Reason = "teams_unknown"
	// ReasonBound is for too many names of teams that are no longer declared.
	ReasonBound Reason = "too_many_teams"
)

// Separation is a change of Since.
type Separation struct {
	Since  uint64
	Reason Reason
	// Teams are the teams that caused it, if they are known.
	Teams []string
}

// History is what is known of the teams that have shared context. The zero value knows no configuration.
type History struct {
	since uint64
	// complete is true if sharing holds every team that has shared under some version from since on.
	complete bool
	sharing  map[string]bool
}

// NewHistory returns a history that was stored. Without complete, any team may have shared.
func NewHistory(since uint64, complete bool, sharing []string) *History {
	h := &History{since: since, complete: complete, sharing: map[string]bool{}}
	h.add(sharing)
	return h
}

// Since returns the version since which teams share context; 0 means that there is no configuration.
func (h *History) Since() uint64 { return h.since }

// Complete reports whether Sharing holds every team that has shared under some version from Since on.
func (h *History) Complete() bool { return h.complete }

// Sharing returns the teams that have shared, sorted.
func (h *History) Sharing() []string { return slices.Sorted(maps.Keys(h.sharing)) }

// Install records the installation of a configuration whose version is above all earlier ones. teams is nil
// if its teams are unknown. It returns the separation, or nil if context is shared as before.
func (h *History) Install(version uint64, teams *Teams) *Separation {
	reason, causes := h.separation(teams)
	if reason != "" {
		h.since = version
		h.complete = teams != nil
		h.sharing = map[string]bool{}
	}
	if teams != nil {
		h.add(teams.Sharing)
	}
	if reason == "" {
		return nil
	}
	return &Separation{Since: version, Reason: reason, Teams: causes}
}

// separation returns why a configuration separates shared context, or an empty reason, and the teams that cause it.
func (h *History) separation(teams *Teams) (reason Reason, causes []string) {
	switch {
	case h.since == 0 && teams != nil:
		return ReasonFirst, nil
	case teams == nil, !h.complete && len(teams.Isolated) > 0:
		return ReasonUnknown, nil
	}
	for _, name := range teams.Isolated {
		if h.sharing[name] {
			causes = append(causes, name)
		}
	}
	if len(causes) > 0 {
		return ReasonIsolated, causes
	}
	if h.complete && h.nameBytes() > spareNameBytes+2*nameBytes(slices.Values(teams.Sharing)) {
		return ReasonBound, nil
	}
	return "", nil
}

func (h *History) add(names []string) {
	for _, name := range names {
		h.sharing[name] = true
	}
}

func (h *History) nameBytes() int { return nameBytes(maps.Keys(h.sharing)) }

func nameBytes(names iter.Seq[string]) int {
	n := 0
	for name := range names {
		n += len(name)
	}
	return n
}
