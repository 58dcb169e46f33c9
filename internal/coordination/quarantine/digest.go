package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"

	"github.com/pkg/errors"
)

// DigestSize is the length of a Digest in bytes.
const DigestSize = 16

// Digest identifies all requests of one caller with the same target and body. It is truncated from
// a cryptographic hash, so that no caller can make a request that collides with another caller's.
type Digest [DigestSize]byte

// DigestOf returns the digest of a request. caller is the identity that separates requests, such as
// the team; target is the method, host and request target.
func DigestOf(caller string, target []string, body []byte) Digest {
	h := sha256.New()
	addField(h, []byte(caller))
	for _, part := range target {
		addField(h, []byte(part))
	}
	addField(h, body)
	return Digest(h.Sum(nil)[:DigestSize])
}

// addField adds a field with its length, so that different lists of fields do not produce the same bytes.
func addField(h hash.Hash, field []byte) {
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(field)))
	_, _ = h.Write(size[:])
	_, _ = h.Write(field)
}

// PartDigestOf returns the digest of all requests to a model with one part in their prompts. scope separates the
// requests of a team that shares no parts with others; it is empty for all other teams.
func PartDigestOf(scope, model, part string) Digest {
	h := sha256.New()
	// No digest of a request begins like this: it would have a caller of several exabytes.
	_, _ = h.Write([]byte("part of a prompt"))
	for _, field := range []string{scope, model, part} {
		addField(h, []byte(field))
	}
	return Digest(h.Sum(nil)[:DigestSize])
}

// ParseDigest is the inverse of String.
func ParseDigest(text string) (Digest, error) {
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != DigestSize {
		return Digest{}, errors.Errorf("%q is not a digest of %d hexadecimal digits", text, 2*DigestSize)
	}
	return Digest(b), nil
}

// String returns the digest in hexadecimal, as it appears in logs.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }
