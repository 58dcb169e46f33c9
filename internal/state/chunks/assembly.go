package chunks

import (
	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
)

// Assembly reassembles a text from its chunks. Create one with NewAssembly, and Close it
// after use. It is not safe for concurrent use.
type Assembly struct {
	decoder *zstd.Decoder
	refs    []Ref
	// chunks holds the chunks received so far, and those of the text given to NewAssembly.
	chunks map[ID][]byte
	// fetchedBytes is the compressed size of all chunks passed to Add.
	fetchedBytes int
}

// NewAssembly returns an Assembly that reuses the chunks of held, an earlier version of the
// text, or nil when there is none.
func NewAssembly(held *Text) (*Assembly, error) {
	decoder, err := newDecoder()
	if err != nil {
		return nil, errors.Wrap(err, "create a zstd decoder")
	}
	a := &Assembly{decoder: decoder, chunks: map[ID][]byte{}}
	if held != nil {
		offset := 0
		for _, ref := range held.refs {
			a.chunks[ref.ID] = held.bytes[offset : offset+ref.Size]
			offset += ref.Size
		}
	}
	return a, nil
}

// Close releases the decoder.
func (a *Assembly) Close() { a.decoder.Close() }

// SetRefs sets the list of the text's chunks. It may be called again, such as for a newer
// version: the chunks that are already held are reused.
func (a *Assembly) SetRefs(refs []Ref) error {
	for _, ref := range refs {
		if ref.Size < 1 || ref.Size > MaxBytes {
			return errors.Errorf("invalid chunk size: %d bytes", ref.Size)
		}
	}
	a.refs = refs
	return nil
}

// Missing returns the IDs of at most limit chunks of the text that are not held, without
// duplicates.
func (a *Assembly) Missing(limit int) []ID {
	var out []ID
	seen := map[ID]bool{}
	for _, ref := range a.refs {
		if len(out) == limit {
			break
		}
		if a.chunks[ref.ID] != nil || seen[ref.ID] {
			continue
		}
		seen[ref.ID] = true
		out = append(out, ref.ID)
	}
	return out
}

// Add decompresses a chunk and stores it under the ID of its content.
func (a *Assembly) Add(compressed []byte) error {
	chunk, err := a.decoder.DecodeAll(compressed, nil)
	if err != nil {
		return errors.Wrap(err, "decompress a chunk")
	}
	a.fetchedBytes += len(compressed)
	a.chunks[NewID(chunk)] = chunk
	return nil
}

// Prune drops the chunks that are not part of the text. Call it only when no chunk is missing.
func (a *Assembly) Prune() {
	kept := make(map[ID][]byte, len(a.refs))
	for _, ref := range a.refs {
		kept[ref.ID] = a.chunks[ref.ID]
	}
	a.chunks = kept
}

// FetchedBytes returns the compressed size of all chunks passed to Add.
func (a *Assembly) FetchedBytes() int { return a.fetchedBytes }

// Text returns the complete text; ok is false while chunks are missing or differ in size
// from the list.
func (a *Assembly) Text() (text *Text, ok bool) {
	size := 0
	for _, ref := range a.refs {
		if len(a.chunks[ref.ID]) != ref.Size {
			return nil, false
		}
		size += ref.Size
	}
	text = &Text{refs: a.refs, bytes: make([]byte, 0, size)}
	for _, ref := range a.refs {
		text.bytes = append(text.bytes, a.chunks[ref.ID]...)
	}
	return text, true
}

// Text is a complete text with the list of its chunks. It is immutable.
type Text struct {
	refs  []Ref
	bytes []byte
}

// Bytes returns the text, which the caller must not modify.
func (t *Text) Bytes() []byte { return t.bytes }

// ChunkCount returns the number of chunks in the text, counting repeated ones.
func (t *Text) ChunkCount() int { return len(t.refs) }
