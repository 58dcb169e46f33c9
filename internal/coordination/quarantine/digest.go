package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
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
	add := func(b []byte) {
		// The length prefix keeps different lists of fields from producing the same bytes.
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(b)))
		_, _ = h.Write(size[:])
		_, _ = h.Write(b)
	}
	add([]byte(caller))
	for _, part := range target {
		add([]byte(part))
	}
	add(body)
	return Digest(h.Sum(nil)[:DigestSize])
}

// String returns the digest in hexadecimal, as it appears in logs.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }
