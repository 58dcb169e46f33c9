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
// share any. That of an isolated team holds its name.
type Salt struct {
	Model   string
	Version uint64
	// Team is empty for KV cache that teams share, and SharedSince is then the version of the configuration since
	// which they do. 0 is for salts of earlier software.
	Team        string
	SharedSince uint64
	// Residency is the policy under which the KV cache may be kept: a change of it must not leave
	// anything in use that lies outside.
	Residency residency.Policy
}

// sincePrefix begins the element of a salt that holds SharedSince. Quoted names and residency policies begin otherwise.
const sincePrefix = "since"

// String returns the salt in the form that engines and stores use. Names are quoted, so that no
// team's name can produce another salt.
func (s Salt) String() string {
	text := "v" + strconv.FormatUint(s.Version, 10) + "/" + strconv.Quote(s.Model)
	switch {
	case s.Team != "":
		text += "/" + strconv.Quote(s.Team)
	case s.SharedSince > 0:
		text += "/" + sincePrefix + strconv.FormatUint(s.SharedSince, 10)
	}
	if policy := s.Residency.String(); policy != "" {
		text += "/" + policy
	}
	return text
}

// VersionOf returns the model and weight version of a salt.
func VersionOf(text string) (model string, version uint64, ok bool) {
	model, version, _, ok = cutVersion(text)
	return model, version, ok
}

// SharedSinceOf returns the version of the configuration since which teams share the KV cache of a salt. ok is false for
// that of an isolated team.
func SharedSinceOf(text string) (since uint64, ok bool) {
	_, _, rest, ok := cutVersion(text)
	if !ok {
		return 0, false
	}
	element, _, _ := strings.Cut(strings.TrimPrefix(rest, "/"), "/")
	if element == "" || element[0] == '[' {
		return 0, true
	}
	number, ok := strings.CutPrefix(element, sincePrefix)
	if !ok {
		return 0, false
	}
	since, err := strconv.ParseUint(number, 10, 64)
	return since, err == nil
}

// cutVersion returns the model and weight version of a salt, and the text after them.
func cutVersion(text string) (model string, version uint64, rest string, ok bool) {
	head, rest, found := strings.Cut(text, "/")
	number, versioned := strings.CutPrefix(head, "v")
	if !found || !versioned {
		return "", 0, "", false
	}
	version, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return "", 0, "", false
	}
	quoted, err := strconv.QuotedPrefix(rest)
	if err != nil {
		return "", 0, "", false
	}
	model, err = strconv.Unquote(quoted)
	return model, version, rest[len(quoted):], err == nil
}
