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

// lines is a text of so many lines, of which one may be different.
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

func put(t *testing.T, l *chunks.Repository, text []byte) []chunks.Ref {
	t.Helper()
	if err := l.Put(text); err != nil {
		t.Fatal(err)
	}
	refs, _ := l.Newest()
	return refs
}

func begin(t *testing.T, held *chunks.Text, refs []chunks.Ref) *chunks.Assembly {
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

// fetch takes what is missing from a library, a little at a time, and returns the text and how
// many pieces were taken.
func fetch(t *testing.T, a *chunks.Assembly, l *chunks.Repository) (text *chunks.Text, pieces int) {
	t.Helper()
	for {
		text, ok := a.Text()
		if ok {
			return text, pieces
		}
		packed := l.Compressed(a.Missing(3), 8<<10)
		if len(packed) == 0 {
			t.Fatal("a missing piece is not in the library")
		}
		for _, piece := range packed {
			pieces++
			if err := a.Add(piece); err != nil {
				t.Fatal(err)
			}
		}
	}
}

func TestTextsComeBackAsTheyWere(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		line := rapid.SliceOfN(rapid.Byte(), 1, 400).Draw(rt, "line")
		text := bytes.Repeat(line, rapid.IntRange(1, 1500).Draw(rt, "times"))
		var l chunks.Repository
		got, _ := fetch(t, begin(t, nil, put(t, &l, text)), &l)
		if !bytes.Equal(text, got.Bytes()) {
			rt.Fatal("another text came back")
		}
	})
}

// A change in the middle of a long text leaves all pieces but a few as they are.
func TestVersionsSharePieces(t *testing.T) {
	before, after := lines(40_000, -1), lines(40_000, 20_000)
	var l chunks.Repository
	held, all := fetch(t, begin(t, nil, put(t, &l, before)), &l)
	text, few := fetch(t, begin(t, held, put(t, &l, after)), &l)
	if !bytes.Equal(after, text.Bytes()) {
		t.Error("another text came back")
	}
	if all < 50 || few > 3 {
		t.Errorf("%d pieces at first, %d after a small change", all, few)
	}
}

// Who began with an older text still gets the rest of it while some newer ones follow; what no
// text consists of any more is dropped.
func TestOlderTextsAreKeptForAWhile(t *testing.T) {
	var l chunks.Repository
	first := put(t, &l, lines(2000, 0))
	ids := func(refs []chunks.Ref) (out []chunks.ID) {
		for _, ref := range refs {
			out = append(out, ref.ID)
		}
		return out
	}
	kept := func() int { return len(l.Compressed(ids(first), 1<<30)) }
	for range 3 {
		put(t, &l, lines(2000, 1))
	}
	if diff := cmp.Diff(len(first), kept()); diff != "" {
		t.Error(diff)
	}
	put(t, &l, lines(2000, 1))
	if kept() >= len(first) {
		t.Error("the first text's pieces are all kept")
	}
}

// What comes from elsewhere is refused if it is not what a library gives.
func TestForeignPiecesAreRefused(t *testing.T) {
	var l chunks.Repository
	refs := put(t, &l, lines(2000, -1))
	a := begin(t, nil, refs)
	packer, err := zstd.NewWriter(nil)
	if err != nil {
		t.Fatal(err)
	}
	if a.Add(packer.EncodeAll(make([]byte, 1<<20), nil)) == nil {
		t.Error("a piece that unpacks to a megabyte was taken")
	}
	if a.Add([]byte("no piece")) == nil {
		t.Error("what does not unpack was taken")
	}
	if a.Add(packer.EncodeAll([]byte("another text's"), nil)) != nil || len(a.Missing(1000)) != len(slices.Compact(refs)) {
		t.Error("a piece of another text counted")
	}
	for _, size := range []int{0, -1, chunks.MaxBytes + 1} {
		if a.SetRefs([]chunks.Ref{{Size: size}}) == nil {
			t.Errorf("a piece of %d bytes was accepted", size)
		}
	}
	if _, ok := chunks.ParseID([]byte("short")); ok {
		t.Error("a short id was accepted")
	}
}
