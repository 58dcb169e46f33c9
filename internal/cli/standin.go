package cli

import (
	"net/http"
	"strconv"
	"time"

	"github.com/shedrock/shedrock/internal/standin/engine"
	"github.com/shedrock/shedrock/internal/standin/fault"
	"github.com/shedrock/shedrock/internal/standin/service"
	"github.com/shedrock/shedrock/internal/standin/store"
)

type standinCommand struct {
	Upstream standinUpstream `cmd:"" help:"A model engine that answers with made-up words."`
	Store    standinStore    `cmd:"" help:"A store of kept context with memory and disk tiers."`
	Service  standinService  `cmd:"" help:"A plain service that counts its calls."`
}

type standinUpstream struct {
	fault.Settings
	Address         string        `help:"IP:PORT to serve on." default:"127.0.0.1:8101"`
	WeightVersion   string        `help:"Weight version served at the start." default:"v1"`
	Slots           int           `help:"How many runs go on at once." default:"8"`
	Queue           int           `help:"How many runs wait for a slot." default:"64"`
	PrefillRate     float64       `help:"Prompt tokens read a second." default:"8000"`
	TokenInterval   time.Duration `help:"Time between tokens." default:"20ms"`
	CacheBlocks     int           `help:"Blocks of 64 tokens in the prefix cache." default:"4096"`
	LoadLag         time.Duration `help:"How old load reports are." default:"500ms"`
	EventLag        time.Duration `help:"How late cache events are." default:"500ms"`
	LoadTime        time.Duration `help:"How long loading a weight version takes." default:"2s"`
	NoOrderCheck    bool          `help:"Take orders from anybody, whatever their token."`
	KeepRuns        time.Duration `help:"How long a finished run can be resumed." default:"60s"`
	DefaultMaxToken int           `help:"Length of an answer when the request sets none." default:"16"`
}

func (c standinUpstream) options() engine.Options {
	return engine.Options{
		Version: c.WeightVersion, Slots: c.Slots, Queue: c.Queue, PrefillRate: c.PrefillRate,
		TokenInterval: c.TokenInterval, CacheBlocks: c.CacheBlocks, LoadLag: c.LoadLag, EventLag: c.EventLag,
		LoadTime: c.LoadTime, ChecksOrders: !c.NoOrderCheck, KeepRuns: c.KeepRuns,
		DefaultTokens: c.DefaultMaxToken, Start: startID(),
	}
}

// Run serves the stand-in.
func (c standinUpstream) Run(p *process) error {
	e := engine.New(c.options())
	e.Faults.Set(c.Settings)
	return c.serve(p, c.Address, e.Handler())
}

func (standinUpstream) serve(p *process, address string, h http.Handler) error {
	listener, err := listen("address", address)
	if err != nil {
		return err
	}
	return serveStandin(p.ctx, p.log, listener, h)
}

type standinStore struct {
	fault.Settings
	Address     string  `help:"IP:PORT to serve on." default:"127.0.0.1:8201"`
	MemoryBytes int64   `help:"Size of the memory tier." default:"268435456"`
	DiskBytes   int64   `help:"Size of the disk tier." default:"1073741824"`
	LinkRate    float64 `help:"Bandwidth of the link in bytes a second." default:"100000000"`
	DiskRate    float64 `help:"Bandwidth of the disk tier in bytes a second." default:"50000000"`
}

// Run serves the stand-in.
func (c standinStore) Run(p *process) error {
	s := store.New(store.Options{
		MemoryBytes: c.MemoryBytes, DiskBytes: c.DiskBytes,
		LinkRate: c.LinkRate, DiskRate: c.DiskRate, Incarnation: startID(),
	})
	s.Faults.Set(c.Settings)
	listener, err := listen("address", c.Address)
	if err != nil {
		return err
	}
	return serveStandin(p.ctx, p.log, listener, s.Handler())
}

type standinService struct {
	fault.Settings
	Address string `help:"IP:PORT to serve on." default:"127.0.0.1:8301"`
}

// Run serves the stand-in.
func (c standinService) Run(p *process) error {
	var s service.Service
	s.Faults.Set(c.Settings)
	listener, err := listen("address", c.Address)
	if err != nil {
		return err
	}
	return serveStandin(p.ctx, p.log, listener, s.Handler())
}

// startID identifies one start of a stand-in.
func startID() string { return strconv.FormatInt(time.Now().UnixNano(), 36) }
