package chunks_test

import (
	"bytes"
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/klauspost/compress/zstd"
	"pgregory.net/rapid"

	"github.com/shedrock/shedrock/internal/state/chunks"
)

// lines returns a text of n lines; the line at index different, if any, has other content.
func lines(n, different int) []byte {
	out := &bytes.Buffer{}
	for i := range n {
		mark := ""
		if i == different {
			mark = "another "
		}
		fmt.Fprintf(out, "%sline %d of a text, with %x in it\n", mark, i, i*i*i*7919)
	}
	return out.Bytes()
}

func putText(t *testing.T, l *chunks.Repository, text []byte) []chunks.Ref {
	t.Helper()
	if err := l.Put(text); err != nil {
		t.Fatal(err)
	}
	refs, _ := l.Newest()
	return refs
}

func newAssembly(t *testing.T, held *chunks.Text, refs []chunks.Ref) *chunks.Assembly {
	t.Helper()
	a, err := chunks.NewAssembly(held)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Close)
	if err := a.SetRefs(refs); err != nil {
		t.Fatal(err)
	}
	return a
}

// fetch copies missing chunks from a repository, a few at a time, until the text is complete. It
// returns the text and the number of chunks copied.
func fetch(t *testing.T, a *chunks.Assembly, l *chunks.Repository) (text *chunks.Text, fetched int) {
	t.Helper()
	for {
		text, ok := a.Text()
		if ok {
			return text, fetched
		}
		compressed := l.Compressed(a.Missing(3), 8<<10)
		if len(compressed) == 0 {
			t.Fatal("a missing chunk is not in the repository")
		}
		for _, chunk := range compressed {
			fetched++
			if err := a.Add(chunk); err != nil {
				t.Fatal(err)
			}
		}
	}
}

func TestTextsRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		line := rapid.SliceOfN(rapid.Byte(), 1, 400).Draw(rt, "line")
		text := bytes.Repeat(line, rapid.IntRange(1, 1500).Draw(rt, "times"))
		var l chunks.Repository
		got, _ := fetch(t, newAssembly(t, nil, putText(t, &l, text)), &l)
		if !bytes.Equal(text, got.Bytes()) {
			rt.Fatal("the reassembled text differs")
		}
	})
}

// A change in the middle of a long text changes only a few chunks.
func TestVersionsShareChunks(t *testing.T) {
	before, after := lines(40_000, -1), lines(40_000, 20_000)
	var l chunks.Repository
	held, all := fetch(t, newAssembly(t, nil, putText(t, &l, before)), &l)
	text, few := fetch(t, newAssembly(t, held, putText(t, &l, after)), &l)
	if !bytes.Equal(after, text.Bytes()) {
		t.Error("the reassembled text differs")
	}
	if all < 50 || few > 3 {
		t.Errorf("fetched %d chunks at first, %d after a small change", all, few)
	}
}

// A reader that has begun to fetch a text can finish while a few newer ones are put. Chunks
// that no retained text contains are dropped.
func TestOlderTextsAreRetained(t *testing.T) {
	var l chunks.Repository
	first := putText(t, &l, lines(2000, 0))
	ids := func(refs []chunks.Ref) (out []chunks.ID) {
		for _, ref := range refs {
			out = append(out, ref.ID)
		}
		return out
	}
	kept := func() int { return len(l.Compressed(ids(first), 1<<30)) }
	for range 3 {
		putText(t, &l, lines(2000, 1))
	}
	if diff := cmp.Diff(len(first), kept()); diff != "" {
		t.Error(diff)
	}
	putText(t, &l, lines(2000, 1))
	if kept() >= len(first) {
		t.Error("no chunk of the first text was dropped")
	}
}

// Chunks, chunk lists and IDs from another process are rejected when a Repository would not
// produce them; a valid chunk of another text does not count as one of this text.
func TestInvalidChunksAreRejected(t *testing.T) {
	var l chunks.Repository
	refs := putText(t, &l, lines(2000, -1))
	a := newAssembly(t, nil, refs)
	encoder, err := zstd.NewWriter(nil)
	if err != nil {
		t.Fatal(err)
	}
	if a.Add(encoder.EncodeAll(make([]byte, 1<<20), nil)) == nil {
		t.Error("a chunk that decompresses to 1 MiB was accepted")
	}
	if a.Add([]byte("no piece")) == nil {
		t.Error("data that is not zstd was accepted")
	}
	if a.Add(encoder.EncodeAll([]byte("another text's"), nil)) != nil || len(a.Missing(1000)) != len(slices.Compact(refs)) {
		t.Error("a chunk of another text counted as one of this text")
	}
	for _, size := range []int{0, -1, chunks.MaxBytes + 1} {
		if a.SetRefs([]chunks.Ref{{Size: size}}) == nil {
			t.Errorf("a chunk size of %d bytes was accepted", size)
		}
	}
	if _, ok := chunks.ParseID([]byte("short")); ok {
		t.Error("a short id was accepted")
	}
}
