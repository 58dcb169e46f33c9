package fleet

import (
	"cmp"
	"context"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/chunks"
)

const (
	// pieceTimeout bounds one question to one source, so that another is asked well within the
	// time that a change may take to be in force. It never has to be enough for a whole text:
	// what is asked for at a time shrinks until it is enough, and what has come is kept. When
	// the least is too much as well, the time grows up to slowTimeout, which with appliedWait is
	// below pollTimeout, the bound of every call here; the largest piece fits into it at
	// 330 kbit/s.
	pieceTimeout = 400 * time.Millisecond
	slowTimeout  = 4 * pieceTimeout
	// mostPiecesBytes and leastPiecesBytes bound what is asked for at a time. The first takes
	// 50 ms of a link of 10 Mbit/s, so that requests on the same link wait for less than that;
	// the second is a piece of routes, packed.
	mostPiecesBytes  = 64 << 10
	leastPiecesBytes = 4 << 10
	// namedBytes is for how many bytes asked for one piece is named, so that the answer is
	// full: few pieces pack to less.
	namedBytes = 512
	// appliedWait is how long a source may take to apply a version that another one told of: a
	// majority has it already, and the rest learns of it with the leader's next message.
	appliedWait = 150 * time.Millisecond
	// avoidFor is how long a source that did not help is asked after all others.
	avoidFor = 2 * time.Second
)

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

// lags reports whether a newer configuration is known than the one in force, other than one
// that does not decode; mu must be held.
func (f *Follower) lags() bool {
	return f.newestVersion() > max(f.version(), f.unreadable)
}

// wantConfig fetches a newer configuration that a source told of; mu must be held.
func (f *Follower) wantConfig() {
	if f.fetching || !f.lags() {
		return
	}
	f.fetching = true
	go f.fetchConfig(f.work)
}

// fetchConfig fetches until the newest known version is in force.
func (f *Follower) fetchConfig(ctx context.Context) {
	assembly, err := chunks.NewAssembly(f.text)
	if err != nil {
		f.Log.Error().Str("event", "configuration_not_fetched").Str("error", err.Error()).Msg("")
		f.endFetch()
		return
	}
	defer assembly.Close()
	fetch := &configFetch{f: f, assembly: assembly, bytes: mostPiecesBytes, timeout: pieceTimeout, began: clock.Now()}
	for ctx.Err() == nil && f.behind() {
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

// behind reports whether a newer version than the one in force is known. Without one the fetch
// has ended.
func (f *Follower) behind() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fetching = f.lags()
	return f.fetching
}

func (f *Follower) endFetch() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fetching = false
}

// configFetch is one process's way from the configuration in force to the newest.
type configFetch struct {
	f        *Follower
	assembly *chunks.Assembly
	// version is the one that is put together, 0 before a manifest has come.
	version uint64
	// bytes is how much is asked for at a time, between leastPiecesBytes and mostPiecesBytes,
	// and timeout how long an answer may take, between pieceTimeout and slowTimeout.
	bytes   int
	timeout time.Duration
	// began is when this fetch, or the version after the last one in force, was begun.
	began time.Time
}

// step asks the sources in turn until one helps, and reports whether one did.
func (c *configFetch) step(ctx context.Context) bool {
	wanted, addresses := c.f.inTurn()
	for _, address := range addresses {
		if ctx.Err() != nil {
			return true
		}
		err := c.ask(ctx, address, wanted)
		if err == nil {
			return true
		}
		c.f.avoid(address)
		c.f.Log.Info().Str("event", "configuration_not_fetched").Uint64("version", wanted).Str("from", address).Int("fetched_bytes", c.assembly.FetchedBytes()).Int("asked_bytes", c.bytes).Str("error", err.Error()).Msg("")
	}
	// No source gave anything: what the text consists of is asked anew, as whoever told it may
	// be gone, and others may cut it otherwise.
	c.version = 0
	return false
}

// inTurn returns the newest version that is known, and the sources in the order in which this
// process asks them. Each process has an order of its own (rendezvous hashing), so that all
// sources carry the same load when all processes ask at once; those that did not help lately,
// and those out of reach, come last.
func (f *Follower) inTurn() (wanted uint64, addresses []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := clock.Now()
	rank := func(address string) int {
		s := f.sources[address]
		if s.reached && now.After(s.avoidUntil) {
			return 0
		}
		return 1
	}
	for address, s := range f.sources {
		if s.reached || s.version > f.version() {
			addresses = append(addresses, address)
		}
	}
	slices.SortFunc(addresses, func(a, b string) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(weight(f.Name, a), weight(f.Name, b)))
	})
	return f.newestVersion(), addresses
}

// weight orders sources for one process.
func weight(name, address string) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(address), xxhash.Sum64String(name)))
}

// avoid has a source asked last for a while.
func (f *Follower) avoid(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.sources[address]; s != nil {
		s.avoidUntil = clock.Now().Add(avoidFor)
	}
}

// ask asks one source for what is needed next: a manifest, or pieces. An error says that the
// source did not help.
func (c *configFetch) ask(ctx context.Context, address string, wanted uint64) error {
	in := &wire.ConfigurationRequest{Version: wanted, WaitMilliseconds: uint32(appliedWait.Milliseconds())}
	if c.version != 0 {
		in.Version = c.version
		in.MostBytes = uint32(c.bytes)
		in.Pieces = fromIDs(c.assembly.Missing(c.bytes / namedBytes))
	}
	told := c.f.toldBy(address)
	out, err := c.call(ctx, address, in)
	if err != nil {
		return err
	}
	c.f.noteVersion(address, told, out.Version)
	if c.version == 0 {
		err = c.begin(out)
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
		return c.without(out.Version)
	}
	return c.finish(address)
}

// without follows an answer that held none of the pieces asked for. A source with a newer
// version may not keep them any more: it is asked what that consists of, and what has come
// counts for it too. One with an older version lags.
func (c *configFetch) without(version uint64) error {
	if version > c.version {
		c.version = 0
		return nil
	}
	return errors.Errorf("it has version %d only", version)
}

// call makes one call, and adapts how much is asked for at a time to what the link carries.
func (c *configFetch) call(ctx context.Context, address string, in *wire.ConfigurationRequest) (*wire.ConfigurationResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, appliedWait+c.timeout)
	defer cancel()
	out, err := wire.NewFleetProtobufClient("http://"+address, c.f.client).ConfigurationPieces(ctx, in)
	if err != nil {
		if c.bytes == leastPiecesBytes {
			c.timeout = min(2*c.timeout, slowTimeout)
		}
		c.bytes = max(c.bytes/2, leastPiecesBytes)
		return nil, errors.Wrap(err, "ask for the configuration")
	}
	c.bytes = min(2*c.bytes, mostPiecesBytes)
	c.timeout = pieceTimeout
	return out, nil
}

// begin takes a manifest.
func (c *configFetch) begin(out *wire.ConfigurationResponse) error {
	refs, err := toRefs(out.Manifest)
	if err != nil {
		return err
	}
	if out.Version <= c.f.settled() {
		return errors.Errorf("it has version %d only", out.Version)
	}
	err = c.assembly.SetRefs(refs)
	if err != nil {
		return err
	}
	c.version = out.Version
	return nil
}

// toldBy returns the newest version that a source told of.
func (f *Follower) toldBy(address string) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.sources[address]; s != nil {
		return s.version
	}
	return 0
}

// noteVersion takes a source's own word on its version: one that restarted may have an older
// one. What it told of while the answer was under way is newer than the answer, and stays;
// told is what it had told before.
func (f *Follower) noteVersion(address string, told, version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.sources[address]; s != nil && s.version == told {
		s.version = version
	}
}

// settled returns the newest version that needs no fetch: it is in force, or does not decode.
func (f *Follower) settled() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(f.version(), f.unreadable)
}

// finish puts the text in force if it is whole.
func (c *configFetch) finish(address string) error {
	text, ok := c.assembly.Text()
	if !ok && len(c.assembly.Missing(1)) == 0 {
		c.version = 0
		return errors.New("its manifest does not fit the pieces")
	}
	if !ok {
		return nil
	}
	version := c.version
	c.version = 0
	c.assembly.Prune()
	// Decoding a long text takes a good part of a second, during which polls go on.
	config, err := c.f.Decode(text.Bytes())
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	if err != nil {
		c.f.unreadable = max(c.f.unreadable, version)
		c.f.Log.Error().Str("event", "configuration_unreadable").Uint64("version", version).Str("from", address).Str("error", err.Error()).Msg("")
		return nil
	}
	c.f.text = text
	c.f.config = config
	// Other services may be declared now.
	c.f.joinInstances()
	c.f.publish()
	c.f.Log.Info().Str("event", "configuration_in_force").Uint64("version", config.Version).Str("from", address).Int("routes", len(config.Routes)).
		Int("bytes", len(text.Bytes())).Int("pieces", text.ChunkCount()).Int("fetched_bytes", c.assembly.FetchedBytes()).Dur("took_ms", clock.Since(c.began)).Msg("")
	c.began = clock.Now()
	return nil
}
