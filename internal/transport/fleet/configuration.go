package fleet

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/shedrock/shedrock/internal/protocol/wire"
)

// textTimeout bounds one question for a configuration's text, so that another source is
// asked well within the time that a change may take to be in force.
const textTimeout = 400 * time.Millisecond

// newestVersion returns the newest version of the configuration that is known here, in
// force or not; mu must be held.
func (f *Follower) newestVersion() uint64 {
	newest := f.version()
	for _, s := range f.sources {
		newest = max(newest, s.version)
	}
	return newest
}

// version returns the version in force; mu must be held.
func (f *Follower) version() uint64 {
	if f.config == nil {
		return 0
	}
	return f.config.Version
}

// wantConfig fetches a newer configuration that a source told of, from one source and not
// from all that have it; mu must be held.
func (f *Follower) wantConfig() {
	if f.fetching || f.newestVersion() <= f.version() {
		return
	}
	f.fetching = true
	go f.fetchConfig(f.work)
}

// fetchConfig asks sources in turn until the newest version is in force.
func (f *Follower) fetchConfig(ctx context.Context) {
	for {
		addresses := f.ahead()
		if len(addresses) == 0 || ctx.Err() != nil {
			return
		}
		if !slices.ContainsFunc(addresses, func(address string) bool { return f.askText(ctx, address) }) {
			time.Sleep(retryWait)
		}
	}
}

// ahead returns the sources that have a newer version than the one in force, the newest
// first, of equal ones the one that answered last. Without any, the fetch has ended.
func (f *Follower) ahead() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for address, s := range f.sources {
		if s.version > f.version() && s.reached {
			out = append(out, address)
		}
	}
	slices.SortFunc(out, func(a, b string) int {
		x, y := f.sources[a], f.sources[b]
		return cmp.Or(cmp.Compare(y.version, x.version), y.answered.Compare(x.answered))
	})
	f.fetching = len(out) > 0
	return out
}

// askText asks one source for the text of its configuration; it reports whether a newer one
// is in force now. A source that has none to give is asked again once it tells of it anew.
func (f *Follower) askText(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, textTimeout)
	defer cancel()
	out, err := wire.NewFleetProtobufClient("http://"+address, f.client).Configuration(ctx, &wire.InstalledRequest{})
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.Log.Info().Str("event", "configuration_not_fetched").Str("from", address).Str("error", err.Error()).Msg("")
	} else if f.takeConfig(address, out.Version, out.Text) {
		f.publish()
		return true
	}
	if s := f.sources[address]; s != nil {
		s.version = 0
	}
	return false
}

// takeConfig puts a newer configuration in force; an older one never follows. It reports
// whether it did; mu must be held.
func (f *Follower) takeConfig(address string, version uint64, text []byte) bool {
	if text == nil || version <= f.version() {
		return false
	}
	config, err := f.Decode(text)
	if err != nil {
		f.Log.Error().Str("event", "configuration_unreadable").Uint64("version", version).Str("from", address).Str("error", err.Error()).Msg("")
		return false
	}
	f.config = config
	f.Log.Info().Str("event", "configuration_in_force").Uint64("version", config.Version).Str("from", address).Int("routes", len(config.Routes)).Msg("")
	return true
}
