package chunks

import (
	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
)

// keptTexts is of how many texts a Library keeps the pieces: a reader that began with one of
// them still gets the rest when some newer ones have followed. Only what differs takes room.
const keptTexts = 4

// Repository holds the pieces of the newest texts of a source, packed. The zero value is empty.
// It is not safe for concurrent use.
type Repository struct {
	// texts holds what each of the last keptTexts texts consists of, the newest last.
	texts [][]Ref
	// packed holds the pieces of texts, and of nothing else.
	packed map[ID][]byte
}

// Put makes a text the newest.
func (l *Repository) Put(text []byte) error {
	pieces, err := split(text)
	if err != nil {
		return err
	}
	packer, err := newPacker()
	if err != nil {
		return errors.Wrap(err, "pack a text")
	}
	defer func() { _ = packer.Close() }()
	refs := make([]Ref, 0, len(pieces))
	for _, piece := range pieces {
		refs = append(refs, l.add(piece, packer))
	}
	l.texts = append(l.texts, refs)
	if len(l.texts) > keptTexts {
		l.texts = l.texts[1:]
	}
	l.prune()
	return nil
}

// add packs a piece unless it is here.
func (l *Repository) add(piece []byte, packer *zstd.Encoder) Ref {
	if l.packed == nil {
		l.packed = map[ID][]byte{}
	}
	ref := Ref{ID: NewID(piece), Size: len(piece)}
	if l.packed[ref.ID] == nil {
		l.packed[ref.ID] = packer.EncodeAll(piece, nil)
	}
	return ref
}

// prune drops the pieces of texts that are not kept any more.
func (l *Repository) prune() {
	kept := make(map[ID][]byte, len(l.packed))
	for _, refs := range l.texts {
		for _, ref := range refs {
			kept[ref.ID] = l.packed[ref.ID]
		}
	}
	l.packed = kept
}

// Newest returns what the newest text consists of, and the size of all of it when packed. The
// slice must not be changed.
func (l *Repository) Newest() (refs []Ref, packedBytes int) {
	if len(l.texts) == 0 {
		return nil, 0
	}
	refs = l.texts[len(l.texts)-1]
	for _, ref := range refs {
		packedBytes += len(l.packed[ref.ID])
	}
	return refs, packedBytes
}

// Compressed returns the pieces that are here, in the order of ids, up to a number of bytes but
// one at least.
func (l *Repository) Compressed(ids []ID, mostBytes int) [][]byte {
	var out [][]byte
	size := 0
	for _, id := range ids {
		piece := l.packed[id]
		if piece == nil {
			continue
		}
		size += len(piece)
		if len(out) > 0 && size > mostBytes {
			break
		}
		out = append(out, piece)
	}
	return out
}
