package prefix_test

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/state/prefix"
)

// TestSaltsDiffer checks that the salt depends on the secret and on each name, and on where
// one name ends and the next begins.
func TestSaltsDiffer(t *testing.T) {
	type parts struct{ secret, team, model, version string }
	base := parts{"secret", "team", "model", "v1"}
	cases := map[string]parts{
		"itself":                  base,
		"another secret":          {"other", "team", "model", "v1"},
		"another team":            {"secret", "other", "model", "v1"},
		"another model":           {"secret", "team", "other", "v1"},
		"another weight version":  {"secret", "team", "model", "v2"},
		"the same letters, moved": {"secret", "teamm", "odel", "v1"},
	}
	salt := func(p parts) prefix.Salt { return prefix.NewSalt([]byte(p.secret), p.team, p.model, p.version) }
	for name, p := range cases {
		if same := salt(p) == salt(base); same != (p == base) {
			t.Errorf("%s: same salt %v", name, same)
		}
	}
}

// TestChain checks that a key depends on all text up to the end of its block, and that an
// incomplete block has no key.
func TestChain(t *testing.T) {
	text := strings.Repeat("a", 3*prefix.BlockBytes+1)
	whole := prefix.Chain("salt", []byte(text))
	changed := prefix.Chain("salt", []byte("b"+text[1:]))
	longer := prefix.Chain("salt", []byte(text+strings.Repeat("c", prefix.BlockBytes)))
	got := []any{len(whole), len(longer), cmp.Equal(whole, longer[:3]), whole[0] == whole[1], whole[2] == changed[2], len(prefix.Chain("salt", []byte("short")))}
	if diff := cmp.Diff([]any{3, 4, true, false, false, 0}, got); diff != "" {
		t.Fatal(diff)
	}
	key, ok := prefix.ParseKey(whole[0].String())
	if !ok || key != whole[0] {
		t.Fatal("ParseKey did not return the key that String formatted")
	}
}
