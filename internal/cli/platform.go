package cli

import (
	"net"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/shedrock/shedrock/internal/settings"
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

func metricsAddress(s *settings.Settings) string {
	return net.JoinHostPort(s.IP, strconv.Itoa(metricsPort))
}
