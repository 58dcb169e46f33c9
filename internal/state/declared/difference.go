package declared

import (
	"bytes"
	"fmt"
	"strings"
)

// maxDiffLines bounds the lines reported to an operator whose document conflicts.
const maxDiffLines = 20

// lineDiff returns the lines that only one of the submitted document and the one in
// force contains. Lines that only moved are not reported.
func lineDiff(old, submitted *Document) []string {
	if old == nil {
		return []string{"no such document is in force yet: submit version 1"}
	}
	unmatched := lineCounts(old.text)
	var out []string
	for _, line := range strings.Split(string(submitted.text), "\n") {
		if unmatched[line] > 0 {
			unmatched[line]--
			continue
		}
		out = append(out, "only yours: "+strings.TrimSpace(line))
	}
	for _, line := range strings.Split(string(old.text), "\n") {
		if unmatched[line] > 0 {
			unmatched[line]--
			out = append(out, "only in force: "+strings.TrimSpace(line))
		}
	}
	if len(out) > maxDiffLines {
		more := len(out) - maxDiffLines
		out = append(out[:maxDiffLines], fmt.Sprintf("and %d more lines", more))
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

// Delta describes how to make a new text from an old one: the first Prefix bytes of
// the old text, then Middle, then the last Suffix bytes of the old text.
type Delta struct {
	// Prefix and Suffix are lengths in bytes; the two never overlap in the old text.
	Prefix, Suffix int
	// Middle replaces the bytes between them.
	Middle []byte
}

// DeltaBetween returns the shortest Delta from old to next. For a change to one team
// in a document of hundreds it is about as long as that team's lines.
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

// Patch applies the delta to old; ok is false when its lengths do not fit old.
func (d Delta) Patch(old []byte) (next []byte, ok bool) {
	if d.Prefix < 0 || d.Suffix < 0 || d.Prefix+d.Suffix > len(old) {
		return nil, false
	}
	next = append(next, old[:d.Prefix]...)
	next = append(next, d.Middle...)
	next = append(next, old[len(old)-d.Suffix:]...)
	return next, true
}
