// Package settings reads the settings file of a process that discovers the others through seed
// addresses. The file is JSON with the fields of Settings; an invalid value gives an error with its
// line number.
package settings

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
)

// pollInterval is how often the file is checked for changes, as it may change without a SIGHUP.
const pollInterval = time.Second

// Settings holds the settings of one process.
type Settings struct {
	// Name is unique among all processes.
	Name string `json:"name"`
	// IP is this instance's address.
	IP            string `json:"ip"`
	FailureDomain string `json:"failure_domain"`
	// FailureDomains lists all failure domains; if it is empty, any name may be evacuated.
	FailureDomains []string `json:"failure_domains"`
	// Regions maps each failure domain to its region. Requests that are restricted to regions are
	// served only in failure domains listed here.
	Regions map[string]string `json:"regions"`
	// Callers, Ready and Control are the addresses on which the process serves, as IP:PORT.
	Callers string `json:"callers"`
	Ready   string `json:"ready"`
	Control string `json:"control"`
	// PeerPort is for traffic between shedrock's own processes, on every instance.
	PeerPort uint16 `json:"peer_port"`
	// PeerListen is the address on which this process accepts connections from its peers, as
	// IP:PORT, if a forwarder listens on PeerAddress; the default is PeerAddress.
	PeerListen string `json:"peer_listen"`
	// Seeds are addresses of some control instances.
	Seeds []string `json:"seeds"`
	// FirstStart is true only when the whole deployment starts for the first time.
	FirstStart bool `json:"first_start"`
	// Data is the data directory of a control instance.
	Data string `json:"data"`
	// MemoryMB is the memory limit of the process.
	MemoryMB float64 `json:"memory_mb"`
	// HeartbeatInterval is how often instances send heartbeats.
	HeartbeatInterval Duration `json:"heartbeat"`
	// Losses is the number of control instances that may be lost at the same time.
	Losses Count `json:"losses"`
	// CatchUpTime is how long a control instance still counts as lost after it came back.
	CatchUpTime Duration `json:"catch_up"`
	// LeaseTime is the minimum time between the orders of two different control instances.
	LeaseTime Duration `json:"lease"`
	// OldWeightsTime is how long requests may still start on older weights of a model after
	// newer ones are named; 0 means no limit.
	OldWeightsTime Duration `json:"old_weights"`
	// GraceTime is how long a process may take to shut down.
	GraceTime Duration `json:"grace"`
	// RetryRatio, RetryWindowTime and RetrySlack are the retry budget of all entries together:
	// RetryRatio times the requests in the window, plus RetrySlack. Without them, nothing is
	// retried.
	RetryRatio      float64  `json:"retry_ratio"`
	RetryWindowTime Duration `json:"retry_window"`
	RetrySlack      float64  `json:"retry_slack"`
	// ColdOverage and ColdSlack limit what all entries together send to a cold instance in one
	// second: ColdOverage times its sustained rate, plus ColdSlack requests. Without them, less than
	// the sustained rate is sent.
	ColdOverage float64 `json:"cold_overage"`
	ColdSlack   float64 `json:"cold_slack"`
	// Profiling serves profiles of the process under /debug/pprof/ at its metrics address.
	Profiling bool `json:"profiling"`
}

// FieldError reports the file, line and field of an invalid value.
type FieldError struct {
	File   string
	Line   int
	Field  string
	Reason string
}

// Error returns the file, line, field and reason.
func (e *FieldError) Error() string {
	return e.File + ":" + strconv.Itoa(e.Line) + ": " + e.Field + ": " + e.Reason
}

// Read reads and validates a file.
func Read(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read the settings")
	}
	return Parse(path, text)
}

// Parse parses and validates text; path is used in errors only.
func Parse(path string, text []byte) (*Settings, error) {
	var s Settings
	err := json.Unmarshal(text, &s)
	var wrongType *json.UnmarshalTypeError
	var syntax *json.SyntaxError
	switch {
	case errors.As(err, &wrongType):
		return nil, &FieldError{path, lineAt(text, wrongType.Offset), wrongType.Field, "expected " + wrongType.Type.String() + ", got " + wrongType.Value}
	case errors.As(err, &syntax):
		return nil, &FieldError{path, lineAt(text, syntax.Offset), "the file", err.Error()}
	case err != nil:
		field, reason := invalidField(text)
		return nil, &FieldError{path, lineOf(text, field), field, reason}
	}
	field, reason := s.check()
	if reason != "" {
		return nil, &FieldError{path, lineOf(text, field), field, reason}
	}
	return &s, nil
}

// invalidField returns the first field, by name, whose value cannot be parsed on its own, and why.
func invalidField(text []byte) (field, reason string) {
	var fields map[string]json.RawMessage
	err := json.Unmarshal(text, &fields)
	if err != nil {
		return "the file", err.Error()
	}
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		single, err := json.Marshal(map[string]json.RawMessage{name: fields[name]})
		if err == nil {
			err = json.Unmarshal(single, &Settings{})
		}
		if err != nil {
			return name, err.Error()
		}
	}
	return "the file", "does not read"
}

func lineAt(text []byte, offset int64) int {
	return 1 + bytes.Count(text[:min(offset, int64(len(text)))], []byte("\n"))
}

// lineOf returns the line of a field, or the last line when it is missing.
func lineOf(text []byte, field string) int {
	offset := bytes.Index(text, []byte(`"`+field+`"`))
	if offset < 0 {
		offset = len(text)
	}
	return lineAt(text, int64(offset))
}

// check returns the first invalid field and the reason, or an empty reason.
func (s *Settings) check() (field, reason string) {
	for _, f := range []struct{ name, value string }{
		{"name", s.Name}, {"ip", s.IP}, {"failure_domain", s.FailureDomain},
	} {
		if f.value == "" {
			return f.name, "is missing"
		}
	}
	if len(s.FailureDomains) > 0 && !slices.Contains(s.FailureDomains, s.FailureDomain) {
		return "failure_domains", strconv.Quote(s.FailureDomain) + " is not among them"
	}
	for domain, region := range s.Regions {
		if region == "" {
			return "regions", strconv.Quote(domain) + " has no region"
		}
	}
	for _, f := range []struct{ name, value string }{
		{"callers", s.Callers}, {"ready", s.Ready}, {"control", s.Control}, {"peer_listen", s.PeerListen}, {"seeds", strings.Join(s.Seeds, ",")},
	} {
		for address := range strings.SplitSeq(f.value, ",") {
			_, err := netip.ParseAddrPort(address)
			if address != "" && err != nil {
				return f.name, strconv.Quote(address) + " is not an IP number and port"
			}
		}
	}
	for _, f := range []struct {
		name string
		n    float64
	}{
		{"peer_port", float64(s.PeerPort)}, {"memory_mb", s.MemoryMB}, {"heartbeat", float64(s.HeartbeatInterval)},
		{"grace", float64(s.GraceTime)}, {"retry_window", float64(s.RetryWindowTime)},
	} {
		if f.n <= 0 {
			return f.name, "must be above 0"
		}
	}
	for _, f := range []struct {
		name string
		n    float64
	}{
		{"losses", float64(s.Losses)}, {"catch_up", float64(s.CatchUpTime)}, {"lease", float64(s.LeaseTime)},
		{"old_weights", float64(s.OldWeightsTime)}, {"retry_ratio", s.RetryRatio}, {"retry_slack", s.RetrySlack},
		{"cold_overage", s.ColdOverage}, {"cold_slack", s.ColdSlack},
	} {
		if f.n < 0 {
			return f.name, "must not be below 0"
		}
	}
	return "", ""
}

// PeerAddress returns the address at which peers reach this process.
func (s *Settings) PeerAddress() string { return s.peerAddr(s.IP) }

// PeerListener returns the address on which this process accepts connections from its peers.
func (s *Settings) PeerListener() string { return cmp.Or(s.PeerListen, s.PeerAddress()) }

// PeerSeeds returns the addresses of the seeds with PeerPort in place of their port.
func (s *Settings) PeerSeeds() []string {
	var out []string
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err == nil {
			out = append(out, s.peerAddr(host))
		}
	}
	return out
}

func (s *Settings) peerAddr(host string) string {
	return net.JoinHostPort(host, strconv.Itoa(int(s.PeerPort)))
}

// Heartbeat returns how often instances send heartbeats.
func (s *Settings) Heartbeat() time.Duration { return time.Duration(s.HeartbeatInterval) }

// Lease returns the minimum time between the orders of two different control instances.
func (s *Settings) Lease() time.Duration { return time.Duration(s.LeaseTime) }

// Grace returns how long a process may take to shut down.
func (s *Settings) Grace() time.Duration { return time.Duration(s.GraceTime) }

// OldWeights returns how long requests may still start on older weights after newer ones are
// named, or 0 for no limit.
func (s *Settings) OldWeights() time.Duration { return time.Duration(s.OldWeightsTime) }

// CatchUp returns how long a control instance still counts as lost after it came back.
func (s *Settings) CatchUp() time.Duration { return time.Duration(s.CatchUpTime) }

// RetryWindow returns the window of the retry budget.
func (s *Settings) RetryWindow() time.Duration { return time.Duration(s.RetryWindowTime) }

// File is a settings file that is reloaded when it changes. Create one with Open.
type File struct {
	path    string
	log     *log.Logger
	current atomic.Pointer[Settings]
}

// Open reads a file, and reloads it when it changes or on SIGHUP, until ctx is done. If a reload
// fails, the current settings are kept.
func Open(ctx context.Context, path string, logger *log.Logger) (*File, error) {
	f := &File{path: path, log: logger}
	// Taken before the file is read: a change in between causes one redundant reload, and none is
	// missed.
	last := f.stamp()
	s, err := Read(path)
	if err != nil {
		return nil, err
	}
	f.current.Store(s)
	// The signal stays registered until the process exits: during shutdown requests are still in
	// flight, and an unhandled SIGHUP would kill the process.
	sighups := make(chan os.Signal, 1)
	signal.Notify(sighups, syscall.SIGHUP)
	go func() {
		ticker := time.NewTicker(pollInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-sighups:
				last = f.stamp()
				f.reload("signal")
			case <-ticker.C:
				if now := f.stamp(); now != last {
					last = now
					f.reload("changed")
				}
			}
		}
	}()
	return f, nil
}

// Current returns the settings in effect.
func (f *File) Current() *Settings { return f.current.Load() }

// stamp returns the modification time and size of the file, to detect changes.
func (f *File) stamp() [2]int64 {
	info, err := os.Stat(f.path)
	if err != nil {
		return [2]int64{}
	}
	return [2]int64{info.ModTime().UnixNano(), info.Size()}
}

func (f *File) reload(trigger string) {
	s, err := Read(f.path)
	if err != nil {
		f.log.Error().Str("event", "settings_kept").Str("why", trigger).Str("error", err.Error()).Msg("")
		return
	}
	f.current.Store(s)
	f.log.Info().Str("event", "settings_reloaded").Str("why", trigger).Str("seeds", strings.Join(s.Seeds, ",")).Msg("")
}
