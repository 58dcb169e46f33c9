// Package prefix computes the keys by which stored context (KV cache) is looked up.
//
// A prompt is split into blocks of fixed size. The key of a block is a digest of the
// block and the previous block's digest, so it identifies the whole prompt up to the
// end of the block. The chain starts from a salt, which is an HMAC of team, model and
// weight version under the deployment's secret: two teams that send the same manual get
// unrelated keys, and so does one team after its model's weight version changes.
//
// Invariant: an incomplete block has no key. The text
//
//	"user\nlist the valves" (21 bytes, block of 256)
//
// therefore has no key, and its context is always computed.
package prefix

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

const (
	// BytesPerToken is the number of bytes of text that are estimated to be one token.
	// It is used only for estimates; upstreams report exact counts.
	BytesPerToken = 4
	// BlockTokens is the length of one block in tokens.
	BlockTokens = 64
	// BlockBytes is the length of one block in bytes of text.
	BlockBytes = BlockTokens * BytesPerToken
	// KeySize is the length of a key in bytes.
	KeySize = 16
)

// Key identifies a prompt's text up to the end of one block.
type Key [KeySize]byte

// String returns the key in hexadecimal.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// ParseKey parses the result of Key.String; ok is false when s is not a valid key.
func ParseKey(s string) (k Key, ok bool) {
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != KeySize {
		return Key{}, false
	}
	return Key(b), true
}

// Salt makes keys differ between teams, models and weight versions.
type Salt [sha256.Size]byte

// String returns the salt in hexadecimal, the form that is sent to engines.
func (s Salt) String() string { return hex.EncodeToString(s[:]) }

// NewSalt derives the salt of one team, model and weight version from the
// deployment's secret. Each name is prefixed with its length, so that team "ab"
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

// Chain returns the keys of the complete blocks of text, in order. salt may be any byte
// string; engines pass the hexadecimal form that they are sent.
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
