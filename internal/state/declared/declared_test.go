package declared_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/state/declared"
)

const digest = "2a97516c354b68848cdbd8f54a226a0a55b21ed138e207ad6c5cbb9c00aa5aea"

func teams(version int, models string) string {
	return fmt.Sprintf("document: teams\nversion: %d\nteams:\n  - name: a\n    key_digests: [%s]\n    models: [%s]\n", version, digest, models)
}

func models(version int, names ...string) string {
	s := fmt.Sprintf("document: models\nversion: %d\nmodels:\n", version)
	for _, n := range names {
		s += "  - {name: " + n + ", weight_version: v1, kv_bytes_per_token: 1, max_prompt_tokens: 10}\n"
	}
	return s
}

func TestFaultsNameFileLineAndField(t *testing.T) {
	head := "document: teams\nversion: 1\nteams:\n  - name: a\n"
	cases := []struct{ name, text, want string }{
		{"unknown field", head + "    colour: red\n", `f.yaml:5: teams[0].colour: unknown field "colour"`},
		{"wrong type", head + "    models: m\n", "f.yaml:5: teams[0].models: string was used where sequence is expected"},
		{"no digest", head, "f.yaml:4: teams[0].key_digests: at least one SHA-256 digest of a key is needed"},
		{"a key in clear", head + "    key_digests: [secret]\n", "f.yaml:5: teams[0].key_digests[0]: expected the SHA-256 digest of a key, 64 hexadecimal digits in lower case"},
		{"bad name", strings.Replace(head, "name: a", "name: A b", 1) + "    key_digests: [" + digest + "]\n", `f.yaml:4: teams[0].name: "A b" is not a name: use 1 to 63 of a-z 0-9 . _ -`},
		{"version 0", "document: teams\nversion: 0\nteams: []\n", "f.yaml:2: version: must be a whole number from 1; the first version of a document is 1"},
		{"unknown kind", "document: users\nversion: 1\n", `f.yaml:1: document: "users" is no kind of document; the kinds are [control models services stores teams upstreams]`},
		{"another kind's part", "document: teams\nversion: 1\nteams: []\nstores: []\n", `f.yaml:4: stores: does not belong in a document of kind "teams"`},
		{"twice", "document: teams\nversion: 1\nversion: 2\n", `f.yaml:3: version: mapping key "version" already defined at [2:1]`},
		{"two documents", "document: teams\n---\nversion: 1\n", "f.yaml:1: document: the file must hold exactly one YAML document"},
		{"a domain in two regions", "document: control\nversion: 1\ncontrol:\n  replicas: [{id: 1, address: \"127.0.0.1:1\", failure_domain: d}]\n  regions:\n    - {name: north, failure_domains: [d]}\n    - {name: south, failure_domains: [d]}\n",
			`f.yaml:7: control.regions[1].failure_domains[0]: "d" already belongs to region "north"`},
		{"majority in one domain", "document: control\nversion: 1\ncontrol:\n  replicas:\n    - {id: 1, address: \"127.0.0.1:1\", failure_domain: d}\n    - {id: 2, address: \"127.0.0.1:2\", failure_domain: d}\n    - {id: 3, address: \"127.0.0.1:3\", failure_domain: e}\n",
			`f.yaml:6: control.replicas[1].failure_domain: "d" would hold a majority of the replicas`},
		{"address", "document: stores\nversion: 1\nstores:\n  - {name: s, address: host, failure_domain: d, memory_bytes: 1, link_bytes_per_second: 1}\n",
			`f.yaml:4: stores[0].address: "host" is not an address: expected an IP number and port such as 127.0.0.1:8101`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, faults := declared.Parse("f.yaml", []byte(c.text))
			var got []string
			for _, f := range faults {
				got = append(got, f.String())
			}
			if diff := cmp.Diff([]string{c.want}, got); diff != "" {
				t.Fatal(diff)
			}
		})
	}
}

// parse parses a text, which must be valid by itself.
func parse(t *testing.T, text string) *declared.Document {
	t.Helper()
	d, faults := declared.Parse("f", []byte(text))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	return d
}

func TestApply(t *testing.T) {
	s := declared.New()
	steps := []struct{ name, text, want string }{
		{"dangling reference", teams(1, "m"), `rejected: f:6: teams[0].models[0]: there is no model "m"`},
		{"first version of models", models(1, "m"), "accepted 1"},
		{"resolved reference", teams(1, "m"), "accepted 2"},
		{"sent again", models(1, "m"), "accepted 1 again"},
		{"same version, different text", models(1, "n"), "conflict 1"},
		{"skipped version", models(3, "m"), "conflict 1"},
		{"removal of a referenced model", models(2, "n"), `rejected: f:4: models: the teams document in force still needs it: teams[0].models[0]: there is no model "m"`},
		{"next version", models(2, "m", "n"), "accepted 3"},
		{"superseded and sent again", models(1, "m"), "accepted 1 again"},
	}
	for _, step := range steps {
		before, err := s.Marshal()
		if err != nil {
			t.Fatal(err)
		}
		got := ""
		switch r := s.Apply(parse(t, step.text)).(type) {
		case declared.Accepted:
			got = fmt.Sprint("accepted ", r.Revision)
			if r.Resent {
				got += " again"
			}
		case declared.Conflict:
			got = fmt.Sprint("conflict ", r.Current)
		case declared.Rejected:
			got = "rejected: " + r.Faults[0].String()
		}
		if diff := cmp.Diff(step.want, got); diff != "" {
			t.Fatalf("%s: %s", step.name, diff)
		}
		after, _ := s.Marshal()
		if !strings.HasPrefix(got, "accepted") && string(before) != string(after) {
			t.Fatalf("%s: a change that was not accepted modified the state", step.name)
		}
		restored, err := declared.Unmarshal(after)
		if err != nil || restored.Revision() != s.Revision() {
			t.Fatalf("%s: %v", step.name, err)
		}
	}
}

func TestHistoryIsBounded(t *testing.T) {
	s := declared.New()
	for v := 1; v <= declared.HistoryLength+1; v++ {
		s.Apply(parse(t, models(v, "m")))
	}
	// Version 1 is no longer in the history: it conflicts, and is not applied twice.
	if r, ok := s.Apply(parse(t, models(1, "m"))).(declared.Conflict); !ok || r.Current != declared.HistoryLength+1 {
		t.Fatalf("%+v", r)
	}
	if r, ok := s.Apply(parse(t, models(2, "m"))).(declared.Accepted); !ok || !r.Resent {
		t.Fatalf("%+v", r)
	}
}

func TestDelta(t *testing.T) {
	cases := []struct{ old, next string }{
		{"", "abc"}, {"abc", ""}, {"abc", "abc"}, {"aXc", "aYYc"}, {"aaa", "aaaa"}, {"aaaa", "aa"}, {"abcabc", "abc"},
	}
	for _, c := range cases {
		d := declared.DeltaBetween([]byte(c.old), []byte(c.next))
		got, ok := d.Patch([]byte(c.old))
		if diff := cmp.Diff(c.next, string(got)); diff != "" || !ok {
			t.Errorf("%q to %q: %s", c.old, c.next, diff)
		}
	}
	if _, ok := (declared.Delta{Prefix: 3, Suffix: 3}).Patch([]byte("abcd")); ok {
		t.Error("a delta was applied to a text that is too short for it")
	}
}
