package settings_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/settings"
)

// templateValues are the values with which a deployment renders a template, by name.
type templateValues map[string]any

func deploymentValues() templateValues {
	return templateValues{
		"node_name": "c1", "ip": "10.0.0.1", "zone": "a", "listen.control": "10.0.0.1:8080", "data_dir": "/data", "internal_ports.0": 7740,
		"seeds": []string{"10.0.0.2:8566"}, "bootstrap": true, "limits.memory_mb": 184, "heartbeat_ms": 1200,
		"fault_tolerance.machines": 2, "bounds.catch_up_s": 6, "bounds.lease_ms": 3000, "bounds.version_ms": 15000, "bounds.grace_s": 8,
		"bounds.retry_budget_ratio": 0.2, "bounds.retry_window_s": 10, "bounds.retry_slack": 628,
	}
}

var (
	sections     = regexp.MustCompile(`(?s)\{\{([#^])([\w.]+)\}\}(.*?)\{\{/([\w.]+)\}\}`)
	placeholders = regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`)
)

// render renders the deployed template as the platform does: a placeholder without a value becomes
// empty, and a section is kept if its value is given and not false.
func render(t *testing.T, values templateValues) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "..", "deploy", "settings.json.tmpl"))
	if err != nil {
		t.Fatal(err)
	}
	out := sections.ReplaceAllStringFunc(string(text), func(s string) string {
		m := sections.FindStringSubmatch(s)
		if m[2] != m[4] {
			t.Fatalf("section %s is closed as %s", m[2], m[4])
		}
		value, given := values[m[2]]
		if (given && value != false) == (m[1] == "#") {
			return m[3]
		}
		return ""
	})
	return placeholders.ReplaceAllStringFunc(out, func(s string) string {
		m := placeholders.FindStringSubmatch(s)
		value, given := values[m[1]]
		if m[2] == "" && !given {
			return ""
		}
		if m[2] == "" {
			return fmt.Sprint(value)
		}
		b, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		return string(b)
	})
}

// The rendered settings parse to the values of the deployment, also if these are fractions, zero or
// missing.
func TestTemplateRendersAnyValue(t *testing.T) {
	type parsed struct {
		CatchUp, Lease, Grace, OldWeights, RetryWindow, Heartbeat time.Duration
		RetryRatio, RetrySlack, MemoryMB                          float64
		Losses                                                    int
	}
	base := parsed{6 * time.Second, 3 * time.Second, 8 * time.Second, 15 * time.Second, 10 * time.Second, 1200 * time.Millisecond, 0.2, 628, 184, 2}
	cases := []struct {
		name   string
		change templateValues
		want   func(*parsed)
	}{
		{"defaults", templateValues{}, func(*parsed) {}},
		{"seconds with a fraction", templateValues{"bounds.catch_up_s": 4.5, "bounds.grace_s": 7.25, "bounds.retry_window_s": 0.5}, func(r *parsed) {
			r.CatchUp, r.Grace, r.RetryWindow = 4500*time.Millisecond, 7250*time.Millisecond, 500*time.Millisecond
		}},
		{"milliseconds with a fraction", templateValues{"bounds.lease_ms": 1500.5, "bounds.version_ms": 7333.25, "heartbeat_ms": 333.5}, func(r *parsed) {
			r.Lease, r.OldWeights, r.Heartbeat = 1500500*time.Microsecond, 7333250*time.Microsecond, 333500*time.Microsecond
		}},
		{"fractions in fields that allow them", templateValues{"bounds.retry_slack": 33.05, "limits.memory_mb": 110.4}, func(r *parsed) {
			r.RetrySlack, r.MemoryMB = 33.05, 110.4
		}},
		{"whole numbers written with a fraction", templateValues{"bounds.lease_ms": json.Number("3000.0"), "bounds.grace_s": json.Number("8.0"), "bounds.retry_slack": json.Number("628.0"), "limits.memory_mb": json.Number("184.0")}, func(*parsed) {}},
		{"zero values", templateValues{"bounds.retry_slack": 0, "bounds.retry_budget_ratio": 0, "fault_tolerance.machines": 0, "bounds.catch_up_s": 0, "bounds.lease_ms": 0, "bounds.version_ms": 0}, func(r *parsed) {
			*r = parsed{Grace: r.Grace, RetryWindow: r.RetryWindow, Heartbeat: r.Heartbeat, MemoryMB: r.MemoryMB}
		}},
		{"missing values", templateValues{"bounds.version_ms": nil, "bounds.retry_slack": nil, "bounds.retry_budget_ratio": nil, "bounds.lease_ms": nil, "bounds.catch_up_s": nil}, func(r *parsed) {
			r.OldWeights, r.RetrySlack, r.RetryRatio, r.Lease, r.CatchUp = 0, 0, 0, 0, 0
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			values := deploymentValues()
			for name, value := range c.change {
				values[name] = value
				if value == nil {
					delete(values, name)
				}
			}
			text := render(t, values)
			s, err := settings.Parse("f", []byte(text))
			if err != nil {
				t.Fatalf("%s\n%s", err, text)
			}
			want := base
			c.want(&want)
			got := parsed{s.CatchUp(), s.Lease(), s.Grace(), s.OldWeights(), s.RetryWindow(), s.Heartbeat(), float64(s.RetryRatio), float64(s.RetrySlack), float64(s.MemoryMB), int(s.Losses)}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
	values := deploymentValues()
	values["fault_tolerance.machines"] = 1.5
	_, err := settings.Parse("f", []byte(render(t, values)))
	if err == nil || !strings.Contains(err.Error(), "losses") {
		t.Errorf("a fraction of losses: got error %v, want one that names losses", err)
	}
}
