// Package keeping tracks the KV cache in stores that evict nothing themselves: which parts are
// complete, until when they may be fetched, and when the space of a part may be freed.
//
// The invariant: a part is freed only after every lease on it has ended. Only one process at a time
// publishes leases, the leader of the control log. A lease ends at a time on the clock of the
// stores and engines, at which an engine discards what has not arrived. So the correctness does not
// depend on the clocks of this program, and a process that is suspended or partitioned cannot
// extend a lease beyond that time.
package keeping

import (
	"strconv"
	"strings"

	"github.com/shedrock/shedrock/internal/state/residency"
)

// Salt separates the KV cache of models, weight versions, teams and residency policies that must not
// share any.
type Salt struct {
	Model   string
	Version uint64
	// Team is empty for KV cache that teams share.
	Team string
	// Residency is the policy under which the KV cache may be kept: a change of it must not leave
	// anything in use that lies outside.
	Residency residency.Policy
}

// String returns the salt in the form that engines and stores use. Names are quoted, so that no
// team's name can produce another salt.
func (s Salt) String() string {
	text := "v" + strconv.FormatUint(s.Version, 10) + "/" + strconv.Quote(s.Model)
	if s.Team != "" {
		text += "/" + strconv.Quote(s.Team)
	}
	if policy := s.Residency.String(); policy != "" {
		text += "/" + policy
	}
	return text
}

// VersionOf returns the model and weight version of a salt.
func VersionOf(text string) (model string, version uint64, ok bool) {
	head, rest, found := strings.Cut(text, "/")
	number, versioned := strings.CutPrefix(head, "v")
	if !found || !versioned {
		return "", 0, false
	}
	version, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return "", 0, false
	}
	quoted, err := strconv.QuotedPrefix(rest)
	if err != nil {
		return "", 0, false
	}
	model, err = strconv.Unquote(quoted)
	return model, version, err == nil
}
