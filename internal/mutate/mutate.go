// Package mutate makes variants of texts for tests of decoders: the same ones for the same seed,
// so that a test gives the same verdict each run, where a fuzzer draws new ones.
package mutate

import (
	"iter"
	"math/rand/v2"
	"slices"
)

// mostChanges bounds the changes that lie between a text and its variant.
const mostChanges = 4

// tokens are what decoders tend to stumble on.
var tokens = []string{
	"null", "true", "-1", "0", "1.5", "1e999", "-1e999", "9223372036854775808", "18446744073709551616", `""`, `"`, "{", "}", "[", "]",
	"[[[[[[[[", ":", ",", "\\", "\x00", "\xff\xfe", "\u2028", "\r\n", " ", "NaN", `{"a":`, `"ready"`, "%s",
}

// Variants lists n variants of some texts.
func Variants(seed uint64, n int, texts ...string) iter.Seq[[]byte] {
	random := rand.New(rand.NewPCG(seed, 0x3a7))
	return func(yield func([]byte) bool) {
		for range n {
			text := []byte(texts[random.IntN(len(texts))])
			for range 1 + random.IntN(mostChanges) {
				text = change(random, text)
			}
			if !yield(text) {
				return
			}
		}
	}
}

// change makes one change.
func change(random *rand.Rand, text []byte) []byte {
	from := random.IntN(len(text) + 1)
	to := min(len(text), from+random.IntN(12))
	switch random.IntN(6) {
	case 0:
		return slices.Delete(text, from, to)
	case 1:
		return slices.Insert(text, to, text[from:to]...)
	case 2:
		return text[:from]
	case 3:
		if from < len(text) {
			text[from] ^= 1 << random.IntN(8)
		}
		return text
	default:
		token := tokens[random.IntN(len(tokens))]
		if random.IntN(2) == 0 {
			text = slices.Delete(text, from, to)
		}
		return slices.Insert(text, from, []byte(token)...)
	}
}
