package cli

import (
	"github.com/phuslu/log"

	"github.com/shedrock/shedrock/internal/state/deployment"
	"github.com/shedrock/shedrock/internal/transport/callerlimits"
	"github.com/shedrock/shedrock/internal/transport/fleet"
)

// newCallerLimiter returns what holds callers' connections to the limits of the configuration in force.
func newCallerLimiter(view func() *fleet.View, logger *log.Logger) *callerlimits.Limiter {
	return &callerlimits.Limiter{
		Limits: func() *deployment.Limits {
			config := view().Config
			if config == nil {
				return nil
			}
			return &config.Limits
		},
		Pending: func() bool {
			v := view()
			return v.NewestConfigVersion > 0 && (v.Config == nil || v.NewestConfigVersion > v.Config.Version)
		},
		Defaults: callerlimits.Defaults{
			IdleTimeout: callerlimits.DefaultIdleTimeout, DeliveryTime: callerlimits.DefaultDeliveryTime,
			HeaderTimeout: callerlimits.DefaultHeaderTimeout, BodyTimeout: callerlimits.DefaultBodyTimeout, HeaderBytes: callerlimits.DefaultHeaderBytes, FormerHold: callerlimits.DefaultFormerHold,
		},
		Metrics: callerlimits.NewMetrics(), Log: logger,
	}
}
