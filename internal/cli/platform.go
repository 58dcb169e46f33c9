package cli

import (
	"context"
	stdlog "log"
	"net"
	"net/http"
	"net/http/pprof"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/phuslu/log"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/settings"
	"github.com/shedrock/shedrock/internal/transport/inbound"
)

const (
	// memoryShare is the part of the instance's memory up to which the collector is lazy.
	memoryShare = 0.6
	// metricsPort serves the metrics; deploy/system.toml names it as well.
	metricsPort = 9464
	// headTimeout bounds a caller that sends half a head.
	headTimeout = 10 * time.Second
)

type platformCommand struct {
	Entry   platformEntryCommand   `cmd:"" help:"Run an entry that finds the control instances by seeds."`
	Control platformControlCommand `cmd:"" help:"Run a replica of the control log that finds the others by seeds."`
}

func limitMemory(s *settings.Settings) {
	debug.SetMemoryLimit(int64(memoryShare * s.MemoryMB * (1 << 20)))
}

// noteSuspensions logs when the machine was suspended, until ctx ends.
func noteSuspensions(ctx context.Context, logger *log.Logger) {
	clock.Watch(ctx, func(missed time.Duration) {
		logger.Info().Str("event", "machine_was_suspended").Dur("missed_ms", missed).Msg("")
	})
}

// metricsServer serves metrics, and profiles if the settings ask for them.
func metricsServer(metrics http.Handler, s *settings.Settings, errorLog *stdlog.Logger) *http.Server {
	mux := http.NewServeMux()
	mux.Handle("/", metrics)
	if s.Profiling {
		mux.HandleFunc("/debug/pprof/", pprof.Index)
		mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	}
	return &http.Server{Handler: mux, ReadHeaderTimeout: headTimeout, MaxHeaderBytes: inbound.MaxHeadBytes, ErrorLog: errorLog}
}

func metricsAddress(s *settings.Settings) string {
	return net.JoinHostPort(s.IP, strconv.Itoa(metricsPort))
}
