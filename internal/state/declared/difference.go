package declared

import (
	"bytes"
	"fmt"
	"strings"
)

// maxDifferences bounds the answer to an operator who lost a race.
const maxDifferences = 20

// differences says, line by line, what the submitted document would take from
// and add to the one in force. Lines that only moved are not mentioned.
func differences(old, submitted *Document) []string {
	if old == nil {
		return []string{"no such document is in force yet: submit version 1"}
	}
	removed := lineCounts(old.text)
	var out []string
	for _, line := range strings.Split(string(submitted.text), "\n") {
		if removed[line] > 0 {
			removed[line]--
			continue
		}
		out = append(out, "only yours: "+strings.TrimSpace(line))
	}
	for _, line := range strings.Split(string(old.text), "\n") {
		if removed[line] > 0 {
			removed[line]--
			out = append(out, "only in force: "+strings.TrimSpace(line))
		}
	}
	if len(out) > maxDifferences {
		more := len(out) - maxDifferences
		out = append(out[:maxDifferences], fmt.Sprintf("and %d more lines", more))
	}
	return out
}

func lineCounts(text []byte) map[string]int {
	counts := map[string]int{}
	for _, line := range strings.Split(string(text), "\n") {
		counts[line]++
	}
	return counts
}

// Delta turns one text into the next: keep Prefix bytes of the old text, put
// Middle, keep the last Suffix bytes of the old text.
type Delta struct {
	// Prefix and Suffix count bytes and never overlap in the old text.
	Prefix, Suffix int
	// Middle replaces what stands between them.
	Middle []byte
}

// DeltaBetween finds the shortest Delta from old to new. A change of one team
// in a document of hundreds costs about that team's own lines.
func DeltaBetween(old, next []byte) Delta {
	limit := min(len(old), len(next))
	prefix := 0
	for prefix < limit && old[prefix] == next[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < limit-prefix && old[len(old)-1-suffix] == next[len(next)-1-suffix] {
		suffix++
	}
	return Delta{Prefix: prefix, Suffix: suffix, Middle: bytes.Clone(next[prefix : len(next)-suffix])}
}

// Patch applies the delta; ok is false when it cannot belong to old.
func (d Delta) Patch(old []byte) (next []byte, ok bool) {
	if d.Prefix < 0 || d.Suffix < 0 || d.Prefix+d.Suffix > len(old) {
		return nil, false
	}
	next = append(next, old[:d.Prefix]...)
	next = append(next, d.Middle...)
	next = append(next, old[len(old)-d.Suffix:]...)
	return next, true
}
