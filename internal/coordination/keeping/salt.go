// Package keeping decides what is known of kept context in stores that drop nothing by
// themselves: which parts are whole, until when they may be fetched, and when the room of
// a part may be freed.
//
// The invariant: a part is freed only after every fetch that it was named for has ended.
// One process at a time names parts, the leader of the control log, and it names them
// until a time on the clock of the stores and engines, at which an engine throws away what
// has not arrived. So no clock of ours counts, and whoever is frozen or cut off names
// nothing that outlives that time.
package keeping

import (
	"strconv"
	"strings"
)

// Salt separates kept context of models, weight versions and teams that share nothing.
type Salt struct {
	Model   string
	Version uint64
	// Team is empty for context that teams share.
	Team string
}

// String gives the salt as engines and stores see it. Names are quoted, so that no team's
// name reads as another salt.
func (s Salt) String() string {
	text := "v" + strconv.FormatUint(s.Version, 10) + "/" + strconv.Quote(s.Model)
	if s.Team != "" {
		text += "/" + strconv.Quote(s.Team)
	}
	return text
}

// VersionOf returns the model and weight version of a salt's text.
func VersionOf(text string) (model string, version uint64, ok bool) {
	head, rest, found := strings.Cut(text, "/")
	number, found2 := strings.CutPrefix(head, "v")
	if !found || !found2 {
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
