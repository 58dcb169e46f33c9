package chunks

import (
	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
)

// retainedTexts is the number of texts whose chunks a Repository retains, so that a reader that
// has begun to fetch one of them can finish after newer ones were put. Texts share their equal
// chunks, so only the differences take memory.
const retainedTexts = 4

// Repository holds the compressed chunks of a source's newest texts. The zero value is empty.
// It is not safe for concurrent use.
type Repository struct {
	// texts holds the chunk lists of the last retainedTexts texts, the newest last.
	texts [][]Ref
	// compressed holds the chunks of texts, and no others.
	compressed map[ID][]byte
}

// Put adds a text as the newest one.
func (l *Repository) Put(text []byte) error {
	chunks, err := split(text)
	if err != nil {
		return err
	}
	encoder, err := newEncoder()
	if err != nil {
		return errors.Wrap(err, "pack a text")
	}
	defer func() { _ = encoder.Close() }()
	refs := make([]Ref, 0, len(chunks))
	for _, chunk := range chunks {
		refs = append(refs, l.add(chunk, encoder))
	}
	l.texts = append(l.texts, refs)
	if len(l.texts) > retainedTexts {
		l.texts = l.texts[1:]
	}
	l.prune()
	return nil
}

// add compresses and stores a chunk unless it is already stored.
func (l *Repository) add(chunk []byte, encoder *zstd.Encoder) Ref {
	if l.compressed == nil {
		l.compressed = map[ID][]byte{}
	}
	ref := Ref{ID: NewID(chunk), Size: len(chunk)}
	if l.compressed[ref.ID] == nil {
		l.compressed[ref.ID] = encoder.EncodeAll(chunk, nil)
	}
	return ref
}

// prune drops chunks that no retained text contains.
func (l *Repository) prune() {
	kept := make(map[ID][]byte, len(l.compressed))
	for _, refs := range l.texts {
		for _, ref := range refs {
			kept[ref.ID] = l.compressed[ref.ID]
		}
	}
	l.compressed = kept
}

// Newest returns the chunk list of the newest text, and the compressed size of all its chunks.
// The caller must not modify the slice.
func (l *Repository) Newest() (refs []Ref, compressedBytes int) {
	if len(l.texts) == 0 {
		return nil, 0
	}
	refs = l.texts[len(l.texts)-1]
	for _, ref := range refs {
		compressedBytes += len(l.compressed[ref.ID])
	}
	return refs, compressedBytes
}

// Compressed returns the stored chunks among ids, compressed and in the order of ids, until
// maxBytes would be exceeded, but at least one. IDs that are not stored are skipped.
func (l *Repository) Compressed(ids []ID, maxBytes int) [][]byte {
	var out [][]byte
	size := 0
	for _, id := range ids {
		chunk := l.compressed[id]
		if chunk == nil {
			continue
		}
		size += len(chunk)
		if len(out) > 0 && size > maxBytes {
			break
		}
		out = append(out, chunk)
	}
	return out
}
