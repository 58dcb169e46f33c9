package serving_test

import (
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/state/deployment"
	"github.com/shedrock/shedrock/internal/transport/fleet"
	"github.com/shedrock/shedrock/internal/transport/serving"
)

// The metrics of an entry show that it serves an older configuration than the newest it knows of.
func TestMetricsShowALaggingConfiguration(t *testing.T) {
	view := &fleet.View{}
	metrics := serving.NewMetrics()
	metrics.RegisterView(func() *fleet.View { return view })
	shown := func() []string {
		w := httptest.NewRecorder()
		metrics.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
		lines := strings.Split(w.Body.String(), "\n")
		return slices.DeleteFunc(lines, func(line string) bool { return !strings.HasPrefix(line, "shedrock_configuration") })
	}
	none := []string{"shedrock_configuration_newest_version 0", "shedrock_configuration_version 0"}
	if diff := cmp.Diff(none, shown()); diff != "" {
		t.Error(diff)
	}
	view = &fleet.View{Config: &deployment.Config{Version: 9}, NewestConfigVersion: 12}
	lagging := []string{"shedrock_configuration_newest_version 12", "shedrock_configuration_version 9"}
	if diff := cmp.Diff(lagging, shown()); diff != "" {
		t.Error(diff)
	}
}
