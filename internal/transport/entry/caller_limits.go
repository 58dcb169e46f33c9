package entry

import (
	"github.com/shedrock/shedrock/internal/state/deployment"
	"github.com/shedrock/shedrock/internal/transport/callerlimits"
)

// newCallerLimiter returns what holds callers' connections to the limits, which do not change.
func (e *Entry) newCallerLimiter() *callerlimits.Limiter {
	m := callerlimits.NewMetrics()
	e.metrics.registry.MustRegister(m.Collectors()...)
	return &callerlimits.Limiter{
		Limits:  func() *deployment.Limits { return &deployment.Limits{HeaderTimeout: headerTimeout} },
		Pending: func() bool { return false },
		Defaults: callerlimits.Defaults{
			IdleTimeout: idleTimeout, HeaderTimeout: headerTimeout, BodyTimeout: e.BodyTimeout, HeaderBytes: maxHeaderBytes,
		},
		Metrics: m, Log: e.Log,
	}
}
