// Package chunks splits a long text into chunks that are transferred and stored separately.
//
// Chunk boundaries depend on the content (Muthitacharoen et al., A Low-bandwidth Network File
// System, 2001), and a chunk is identified by its digest. Two versions of a text therefore share
// nearly all chunks: a reader that has one version fetches only the chunks that changed. Chunks
// that it has fetched stay valid when it continues at another source or with another version.
package chunks

import (
	"bytes"
	"crypto/sha256"
	"io"

	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
	"github.com/restic/chunker"
)

const (
	// averageBits sets the average length of a chunk, 16 KB beyond minBytes: a small change to
	// a text of any size affects one or two chunks, and JSON chunks of that size compress to a
	// fifth.
	averageBits = 14
	// minBytes is the smallest size of a chunk, except for the last one of a text.
	minBytes = 4 << 10
	// MaxBytes is the largest size of a chunk.
	MaxBytes = 64 << 10
	// polynomial is the irreducible polynomial of the rolling hash. Any one works, but all
	// sources must use the same one to produce the same chunk boundaries.
	polynomial = chunker.Pol(0x3DA3358B4DC173)
	// idBytes is the length of an ID: collisions are negligible with 128 bits of a SHA-256.
	idBytes = 16
)

// ID identifies a chunk by its content: the first bytes of its SHA-256 digest.
type ID [idBytes]byte

// NewID computes the ID of a chunk.
func NewID(chunk []byte) ID {
	digest := sha256.Sum256(chunk)
	return ID(digest[:idBytes])
}

// ParseID converts an ID received from another process; ok is false unless it has the right length.
func ParseID(b []byte) (id ID, ok bool) {
	if len(b) != idBytes {
		return ID{}, false
	}
	return ID(b), true
}

// Ref identifies one chunk of a text.
type Ref struct {
	ID ID
	// Size is the chunk's uncompressed length in bytes, from 1 to MaxBytes.
	Size int
}

// split splits a text into chunks, which are slices of it.
func split(text []byte) ([][]byte, error) {
	splitter := chunker.NewWithBoundaries(bytes.NewReader(text), polynomial, minBytes, MaxBytes)
	splitter.SetAverageBits(averageBits)
	buffer := make([]byte, 0, MaxBytes)
	var chunks [][]byte
	for {
		chunk, err := splitter.Next(buffer)
		if errors.Is(err, io.EOF) {
			return chunks, nil
		}
		if err != nil {
			return nil, errors.Wrap(err, "cut a text")
		}
		chunks = append(chunks, text[chunk.Start:chunk.Start+chunk.Length])
	}
}

// newEncoder returns a zstd encoder whose tables and window are sized for one chunk.
func newEncoder() (*zstd.Encoder, error) {
	return zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(MaxBytes))
}

// newDecoder returns a zstd decoder that rejects input which decompresses to more than MaxBytes.
func newDecoder() (*zstd.Decoder, error) {
	return zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(MaxBytes))
}
