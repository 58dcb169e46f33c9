// Package prefix computes the keys under which kept context is found.
//
// A prompt is cut into fixed blocks of text. Each block's key is a digest over
// the block and the key before it, so one key stands for the whole prompt up to
// that point. The chain starts from a salt that is derived with a secret from
// team, model and weight version: two teams that send the same manual get
// unrelated keys, and so does one team after a weight swap.
//
// Invariant: a block that is not full has no key. The text
//
//	"user\nlist the valves" (21 bytes, block of 256)
//
// therefore has none, and is always computed.
package prefix

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

const (
	// BytesPerToken is how many bytes of text the system counts as one token.
	// Upstreams report exact counts; this only feeds estimates.
	BytesPerToken = 4
	// BlockTokens is the length of one block in tokens.
	BlockTokens = 64
	// BlockBytes is the length of one block in bytes of text.
	BlockBytes = BlockTokens * BytesPerToken
	// KeySize is the length of a key in bytes.
	KeySize = 16
)

// Key stands for a prompt's text up to the end of one block.
type Key [KeySize]byte

// String gives the key in hexadecimal.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// ParseKey reads a key written by String; ok is false when s is no key.
func ParseKey(s string) (k Key, ok bool) {
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != KeySize {
		return Key{}, false
	}
	return Key(b), true
}

// Salt separates the keys of teams, models and weight versions.
type Salt [sha256.Size]byte

// String gives the salt in hexadecimal, as it is sent to engines.
func (s Salt) String() string { return hex.EncodeToString(s[:]) }

// NewSalt derives the salt of one team, model and weight version from the
// deployment's secret. Lengths are written before the names, so that team "ab"
// with model "c" differs from team "a" with model "bc".
func NewSalt(secret []byte, team, model, version string) Salt {
	mac := hmac.New(sha256.New, secret)
	for _, part := range []string{team, model, version} {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(part)))
		mac.Write(n[:])
		mac.Write([]byte(part))
	}
	return Salt(mac.Sum(nil))
}

// Chain returns the key of each full block of text, in order. salt is any byte
// string; engines use the hexadecimal form that they are sent.
func Chain(salt string, text []byte) []Key {
	n := len(text) / BlockBytes
	keys := make([]Key, 0, n)
	h := sha256.New()
	previous := []byte(salt)
	var sum [sha256.Size]byte
	for i := range n {
		h.Reset()
		h.Write(previous)
		h.Write(text[i*BlockBytes : (i+1)*BlockBytes])
		h.Sum(sum[:0])
		previous = sum[:]
		keys = append(keys, Key(sum[:KeySize]))
	}
	return keys
}

// Tokens estimates the number of tokens in n bytes of text, rounding up.
func Tokens(n int) int { return (n + BytesPerToken - 1) / BytesPerToken }
