// Package chunks cuts a long text into pieces that are moved, and kept, one by one.
//
// The borders of the pieces follow the content (Muthitacharoen and others, A Low-bandwidth
// Network File System, 2001), and a piece is named by its digest. So two versions of a text share nearly all pieces, a reader that holds
// one version needs only what changed, and what it has fetched counts whichever source it asks
// next and whichever version it ends up with.
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
	// averageBits sets how long a piece is on average, 16 KB behind the smallest size: a small
	// change of a text of any size moves one or two of them, and pieces of JSON of that size
	// pack to a fifth.
	averageBits = 14
	// minBytes is the smallest size of a piece, but for a text's last.
	minBytes = 4 << 10
	// MaxBytes is the largest size of a piece.
	MaxBytes = 64 << 10
	// polynomial is an irreducible one for the rolling hash; any would do, but all sources must
	// use the same to cut alike.
	polynomial = chunker.Pol(0x3DA3358B4DC173)
	// idBytes is the length of an ID: 128 bits of a SHA-256 do not collide.
	idBytes = 16
)

// ID names a piece by its content.
type ID [idBytes]byte

// NewID returns the name of a piece.
func NewID(piece []byte) ID {
	digest := sha256.Sum256(piece)
	return ID(digest[:idBytes])
}

// ParseID reads an ID that came from elsewhere; ok is false unless it has the right length.
func ParseID(b []byte) (id ID, ok bool) {
	if len(b) != idBytes {
		return ID{}, false
	}
	return ID(b), true
}

// Ref is one piece of a text.
type Ref struct {
	ID ID
	// Size is the piece's length in bytes, from 1 to MaxBytes.
	Size int
}

// split cuts a text into pieces, which share its memory.
func split(text []byte) ([][]byte, error) {
	cutter := chunker.NewWithBoundaries(bytes.NewReader(text), polynomial, minBytes, MaxBytes)
	cutter.SetAverageBits(averageBits)
	buffer := make([]byte, 0, MaxBytes)
	var pieces [][]byte
	for {
		piece, err := cutter.Next(buffer)
		if errors.Is(err, io.EOF) {
			return pieces, nil
		}
		if err != nil {
			return nil, errors.Wrap(err, "cut a text")
		}
		pieces = append(pieces, text[piece.Start:piece.Start+piece.Length])
	}
}

// newPacker returns what packs pieces; its tables and window are those of one piece.
func newPacker() (*zstd.Encoder, error) {
	return zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(MaxBytes))
}

// newUnpacker returns what unpacks pieces, and refuses whatever unpacks to more than one.
func newUnpacker() (*zstd.Decoder, error) {
	return zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(MaxBytes))
}
