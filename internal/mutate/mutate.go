// Package mutate generates mutated inputs for tests of decoders. The same seed yields the same
// inputs, so that a test gives the same result on each run, whereas a fuzzer generates new ones.
package mutate

import (
	"iter"
	"math/rand/v2"
	"slices"
)

// maxMutations is the maximum number of mutations applied to an input.
const maxMutations = 4

// tokens are inserted into inputs; they are values that decoders often handle incorrectly.
var tokens = []string{
	"null", "true", "-1", "0", "1.5", "1e999", "-1e999", "9223372036854775808", "18446744073709551616", `""`, `"`, "{", "}", "[", "]",
	"[[[[[[[[", ":", ",", "\\", "\x00", "\xff\xfe", "\u2028", "\r\n", " ", "NaN", `{"a":`, `"ready"`, "%s",
}

// Variants yields n inputs, each a mutation of one of texts chosen at random.
func Variants(seed uint64, n int, texts ...string) iter.Seq[[]byte] {
	random := rand.New(rand.NewPCG(seed, 0x3a7))
	return func(yield func([]byte) bool) {
		for range n {
			text := []byte(texts[random.IntN(len(texts))])
			for range 1 + random.IntN(maxMutations) {
				text = mutate(random, text)
			}
			if !yield(text) {
				return
			}
		}
	}
}

// mutate applies one random mutation to text.
func mutate(random *rand.Rand, text []byte) []byte {
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
