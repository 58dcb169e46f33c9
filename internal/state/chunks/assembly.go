package chunks

import (
	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
)

// Assembly puts a text together from pieces. Make one with NewAssembly, and Close it. It is
// not safe for concurrent use.
type Assembly struct {
	unpacker *zstd.Decoder
	refs     []Ref
	// pieces holds what is here, of this text and of the one that was held before.
	pieces map[ID][]byte
	// fetched counts the bytes that Add took, packed.
	fetched int
}

// NewAssembly begins with the text that is held already, or with nil.
func NewAssembly(held *Text) (*Assembly, error) {
	unpacker, err := newUnpacker()
	if err != nil {
		return nil, errors.Wrap(err, "make an unpacker")
	}
	a := &Assembly{unpacker: unpacker, pieces: map[ID][]byte{}}
	if held != nil {
		at := 0
		for _, ref := range held.refs {
			a.pieces[ref.ID] = held.bytes[at : at+ref.Size]
			at += ref.Size
		}
	}
	return a, nil
}

// Close frees the unpacker.
func (a *Assembly) Close() { a.unpacker.Close() }

// SetRefs sets what the text consists of. It may be set anew: pieces that are here stay.
func (a *Assembly) SetRefs(refs []Ref) error {
	for _, ref := range refs {
		if ref.Size < 1 || ref.Size > MaxBytes {
			return errors.Errorf("a piece of %d bytes", ref.Size)
		}
	}
	a.refs = refs
	return nil
}

// Missing returns the ids of pieces that are not here, each once, up to a number of them.
func (a *Assembly) Missing(most int) []ID {
	var out []ID
	seen := map[ID]bool{}
	for _, ref := range a.refs {
		if len(out) == most {
			break
		}
		if a.pieces[ref.ID] != nil || seen[ref.ID] {
			continue
		}
		seen[ref.ID] = true
		out = append(out, ref.ID)
	}
	return out
}

// Add takes a packed piece.
func (a *Assembly) Add(packed []byte) error {
	piece, err := a.unpacker.DecodeAll(packed, nil)
	if err != nil {
		return errors.Wrap(err, "unpack a piece")
	}
	a.fetched += len(packed)
	a.pieces[NewID(piece)] = piece
	return nil
}

// Prune drops the pieces of which the text does not consist, once it is whole.
func (a *Assembly) Prune() {
	kept := make(map[ID][]byte, len(a.refs))
	for _, ref := range a.refs {
		kept[ref.ID] = a.pieces[ref.ID]
	}
	a.pieces = kept
}

// FetchedBytes returns how many bytes were taken by Add, packed.
func (a *Assembly) FetchedBytes() int { return a.fetched }

// Text returns the whole text; ok is false while pieces are missing.
func (a *Assembly) Text() (text *Text, ok bool) {
	size := 0
	for _, ref := range a.refs {
		if len(a.pieces[ref.ID]) != ref.Size {
			return nil, false
		}
		size += ref.Size
	}
	text = &Text{refs: a.refs, bytes: make([]byte, 0, size)}
	for _, ref := range a.refs {
		text.bytes = append(text.bytes, a.pieces[ref.ID]...)
	}
	return text, true
}

// Text is a whole text and what it consists of. It never changes.
type Text struct {
	refs  []Ref
	bytes []byte
}

// Bytes returns the text, which must not be changed.
func (t *Text) Bytes() []byte { return t.bytes }

// ChunkCount returns of how many pieces the text consists.
func (t *Text) ChunkCount() int { return len(t.refs) }
