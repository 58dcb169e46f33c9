package entry

import (
	"io"
	"net/http"

	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// operatorsHandler serves liveness, readiness and metrics.
func (e *Entry) operatorsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", e.readyz)
	mux.Handle("GET /metrics", promhttp.HandlerFor(e.metrics.registry, promhttp.HandlerOpts{}))
	return mux
}

func (e *Entry) readyz(w http.ResponseWriter, _ *http.Request) {
	reason, ok := e.ready()
	if !ok {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

// ready reports whether the load balancer should send requests to this entry.
func (e *Entry) ready() (reason string, ok bool) {
	if e.notReady.Load() {
		return "the entry is stopping", false
	}
	if e.state.Load().Revision() == 0 {
		return "no declared state is in force yet", false
	}
	return "", true
}
