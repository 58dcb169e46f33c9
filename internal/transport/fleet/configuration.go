package fleet

import (
	"cmp"
	"context"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/chunks"
	"github.com/shedrock/shedrock/internal/state/deployment"
)

const (
	// pieceTimeout limits one request to one source, so that another source is tried well within
	// the time in which a change must be in force. It need not suffice for a whole text: the amount
	// requested shrinks until it suffices, and pieces already received are kept. If the smallest
	// amount is too much as well, the timeout grows up to maxPieceTimeout. Together with applyWait,
	// that is below pollTimeout, which limits every call here, and it suffices for the largest
	// piece at 330 kbit/s.
	pieceTimeout    = 400 * time.Millisecond
	maxPieceTimeout = 4 * pieceTimeout
	// maxRequestBytes and minRequestBytes limit the amount requested at a time. The first takes 50
	// ms on a link of 10 Mbit/s, so that requests on the same link are delayed by less than that;
	// the second is a compressed piece of routes.
	maxRequestBytes = 64 << 10
	minRequestBytes = 4 << 10
	// bytesPerPiece is the compressed size assumed per piece when choosing how many pieces to
	// request, so that the answer is full: few pieces compress to less.
	bytesPerPiece = 512
	// applyWait is how long a source may take to apply a version that another source announced: a
	// majority has it already, and the others learn of it with the leader's next message.
	applyWait = 150 * time.Millisecond
	// avoidDuration is how long a source is tried last after a request to it failed.
	avoidDuration = 2 * time.Second
)

// newestVersion returns the newest known version of the configuration, in force or not; mu must be
// held.
func (f *Follower) newestVersion() uint64 {
	newest := f.version()
	for _, s := range f.sources {
		newest = max(newest, s.configVersion)
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

// configOutdated reports whether a newer configuration is known than the one in force, other than
// one that fails to decode; mu must be held.
func (f *Follower) configOutdated() bool {
	return f.newestVersion() > max(f.version(), f.unreadable)
}

// startFetch starts to fetch a newer configuration if a source announced one; mu must be held.
func (f *Follower) startFetch() {
	if f.fetching || !f.configOutdated() {
		return
	}
	f.fetching = true
	go f.fetchConfig(f.runCtx)
}

// fetchConfig fetches configurations until the newest known version is in force.
func (f *Follower) fetchConfig(ctx context.Context) {
	assembly, err := chunks.NewAssembly(f.text)
	if err != nil {
		f.Log.Error().Str("event", "configuration_not_fetched").Str("error", err.Error()).Msg("")
		f.endFetch()
		return
	}
	defer assembly.Close()
	fetch := &configFetch{f: f, assembly: assembly, bytes: maxRequestBytes, timeout: pieceTimeout, startedAt: clock.Now()}
	for ctx.Err() == nil && f.continueFetch() {
		if !fetch.step(ctx) {
			pause(ctx, retryWait)
		}
	}
}

func pause(ctx context.Context, wait time.Duration) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
}

// continueFetch reports whether a newer version than the one in force is known. Otherwise it marks
// the fetch as ended.
func (f *Follower) continueFetch() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fetching = f.configOutdated()
	return f.fetching
}

func (f *Follower) endFetch() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fetching = false
}

// configFetch is the state of a fetch that leads from the configuration in force to the newest.
type configFetch struct {
	f        *Follower
	assembly *chunks.Assembly
	// version is the version being assembled, or 0 before a manifest was received, and sharedSince the version
	// since which its teams share cached context, or 0 if the source does not know it.
	version, sharedSince uint64
	// bytes is the amount requested at a time, between minRequestBytes and maxRequestBytes, and
	// timeout the time limit of a request, between pieceTimeout and maxPieceTimeout.
	bytes   int
	timeout time.Duration
	// startedAt is when the fetch of the current version started.
	startedAt time.Time
}

// step tries the sources in order until a request succeeds, and reports whether one did.
func (c *configFetch) step(ctx context.Context) bool {
	wanted, addresses := c.f.fetchOrder()
	for _, address := range addresses {
		if ctx.Err() != nil {
			return true
		}
		err := c.requestNext(ctx, address, wanted)
		if err == nil {
			return true
		}
		c.f.avoid(address)
		c.f.Log.Info().Str("event", "configuration_not_fetched").Uint64("version", wanted).Str("from", address).Int("fetched_bytes", c.assembly.FetchedBytes()).Int("asked_bytes", c.bytes).Str("error", err.Error()).Msg("")
	}
	// No source answered with anything useful. Request the manifest again, as the source that sent
	// it may be gone, and others may split the text differently.
	c.version = 0
	return false
}

// fetchOrder returns the newest known version, and the sources in the order in which this process
// tries them. Each process has a different order (rendezvous hashing), so that the load is spread
// over all sources when all processes fetch at once. Sources that failed lately or are unreachable
// come last.
func (f *Follower) fetchOrder() (wanted uint64, addresses []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := clock.Now()
	rank := func(address string) int {
		s := f.sources[address]
		if s.reachable && now.After(s.avoidUntil) {
			return 0
		}
		return 1
	}
	for address, s := range f.sources {
		if s.reachable || s.configVersion > f.version() {
			addresses = append(addresses, address)
		}
	}
	slices.SortFunc(addresses, func(a, b string) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(rendezvousWeight(f.Name, a), rendezvousWeight(f.Name, b)))
	})
	return f.newestVersion(), addresses
}

// rendezvousWeight returns the weight by which one process sorts the sources.
func rendezvousWeight(name, address string) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(address), xxhash.Sum64String(name)))
}

// avoid makes a source the last choice for avoidDuration.
func (f *Follower) avoid(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.sources[address]; s != nil {
		s.avoidUntil = clock.Now().Add(avoidDuration)
	}
}

// requestNext requests the manifest or the next pieces from one source. It returns an error if the
// answer was of no use.
func (c *configFetch) requestNext(ctx context.Context, address string, wanted uint64) error {
	in := &wire.ConfigurationRequest{Version: wanted, WaitMilliseconds: uint32(applyWait.Milliseconds())}
	if c.version != 0 {
		in.Version = c.version
		in.MostBytes = uint32(c.bytes)
		in.Pieces = fromIDs(c.assembly.Missing(c.bytes / bytesPerPiece))
	}
	announced := c.f.announcedVersion(address)
	out, err := c.call(ctx, address, in)
	if err != nil {
		return err
	}
	c.f.setVersion(address, announced, out.Version)
	if c.version == 0 {
		err = c.applyManifest(out)
		if err != nil {
			return err
		}
	}
	for _, packed := range out.Packed {
		err = c.assembly.Add(packed)
		if err != nil {
			return err
		}
	}
	if len(in.Pieces) > 0 && len(out.Packed) == 0 {
		return c.handleMissingPieces(out.Version)
	}
	return c.finish(address)
}

// handleMissingPieces handles an answer without any of the requested pieces. A source with a newer
// version may not keep the pieces any more: the manifest of that version is requested, and the
// pieces already received count for it too. A source with an older version lags, which is an error.
func (c *configFetch) handleMissingPieces(version uint64) error {
	if version > c.version {
		c.version = 0
		return nil
	}
	return errors.Errorf("source has only version %d", version)
}

// call makes one call, and adapts the amount requested at a time to the capacity of the link.
func (c *configFetch) call(ctx context.Context, address string, in *wire.ConfigurationRequest) (*wire.ConfigurationResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, applyWait+c.timeout)
	defer cancel()
	out, err := wire.NewFleetProtobufClient("http://"+address, c.f.client).ConfigurationPieces(ctx, in)
	if err != nil {
		if c.bytes == minRequestBytes {
			c.timeout = min(2*c.timeout, maxPieceTimeout)
		}
		c.bytes = max(c.bytes/2, minRequestBytes)
		return nil, errors.Wrap(err, "request configuration")
	}
	c.bytes = min(2*c.bytes, maxRequestBytes)
	c.timeout = pieceTimeout
	return out, nil
}

// applyManifest starts the assembly of the version of a manifest.
func (c *configFetch) applyManifest(out *wire.ConfigurationResponse) error {
	refs, err := toRefs(out.Manifest)
	if err != nil {
		return err
	}
	if out.Version <= c.f.settledVersion() {
		return errors.Errorf("source has only version %d", out.Version)
	}
	err = c.assembly.SetRefs(refs)
	if err != nil {
		return err
	}
	c.version, c.sharedSince = out.Version, out.SharedSince
	return nil
}

// announcedVersion returns the newest version that a source announced.
func (f *Follower) announcedVersion(address string) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.sources[address]; s != nil {
		return s.configVersion
	}
	return 0
}

// setVersion sets the version that a source has according to its own answer: after a restart it may
// be an older one. announced is the version known before the call; if the source has announced
// another one since, that is newer than the answer and stays.
func (f *Follower) setVersion(address string, announced, version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.sources[address]; s != nil && s.configVersion == announced {
		s.configVersion = version
	}
}

// settledVersion returns the newest version that need not be fetched: it is in force, or failed to
// decode.
func (f *Follower) settledVersion() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(f.version(), f.unreadable)
}

// finish puts the text in force if it is complete.
func (c *configFetch) finish(address string) error {
	text, ok := c.assembly.Text()
	if !ok && len(c.assembly.Missing(1)) == 0 {
		c.version = 0
		return errors.New("manifest does not match the pieces")
	}
	if !ok {
		return nil
	}
	version := c.version
	c.version = 0
	c.assembly.Prune()
	// Decoding a long text takes a good part of a second, during which polls must continue, so mu
	// is not held.
	config, err := c.f.Decode(text.Bytes())
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	if err != nil {
		c.f.unreadable = max(c.f.unreadable, version)
		c.f.Log.Error().Str("event", "configuration_unreadable").Uint64("version", version).Str("from", address).Str("error", err.Error()).Msg("")
		return nil
	}
	if c.f.config == nil || !sameServices(c.f.config, config) {
		c.f.merged.Redeclare()
	}
	c.f.text = text
	c.f.config = config.WithSharedSince(sharedSince(c.sharedSince, version))
	c.f.rebuildInstances()
	c.f.publish()
	c.f.Log.Info().Str("event", "configuration_in_force").Uint64("version", config.Version).Str("from", address).Uint64("shared_since", c.f.config.SharedSince).Int("routes", len(config.Routes)).
		Int("bytes", len(text.Bytes())).Int("pieces", text.ChunkCount()).Int("fetched_bytes", c.assembly.FetchedBytes()).Dur("took_ms", clock.Since(c.startedAt)).Msg("")
	c.startedAt = clock.Now()
	return nil
}

// sharedSince returns the version since which the teams of a version share cached context, as told by a source. If that
// is unknown, they share none that was made under an earlier version.
func sharedSince(told, version uint64) uint64 {
	if told == 0 || told > version {
		return version
	}
	return told
}

// raiseSharedSince takes over a later version since which the teams of the configuration in force share cached context.
// The control log derives another one for the same version if it was lost and installed again. mu must be held.
func (f *Follower) raiseSharedSince(out *wire.FleetResponse) {
	if out.ConfigVersion != f.version() || out.SharedSince > out.ConfigVersion || f.config == nil || out.SharedSince <= f.config.SharedSince {
		return
	}
	f.Log.Info().Str("event", "context_separated").Uint64("version", out.ConfigVersion).Uint64("shared_since", out.SharedSince).Uint64("before", f.config.SharedSince).Msg("")
	f.config = f.config.WithSharedSince(out.SharedSince)
}

// sameServices reports whether two configurations have services of the same names.
func sameServices(a, b *deployment.Config) bool {
	return maps.EqualFunc(a.Services, b.Services, func(deployment.Service, deployment.Service) bool { return true })
}
