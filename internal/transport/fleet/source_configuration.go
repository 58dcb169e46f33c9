package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/chunks"
	"github.com/shedrock/shedrock/internal/state/ledger"
)

const (
	// inlineBytes is the compressed size up to which all pieces are sent along with the manifest,
	// so that a configuration of some dozen routes takes one call instead of two.
	inlineBytes = 16 << 10
	// maxPiecesBytes limits the pieces in one answer, regardless of what the caller asks for.
	maxPiecesBytes = 256 << 10
)

// configRepository holds the text of the configuration in pieces. It is safe for concurrent use.
type configRepository struct {
	mu sync.Mutex
	// The fields below are guarded by mu.
	version, sharedSince uint64
	repository           chunks.Repository
}

// ConfigurationPieces returns the manifest of the configuration's text, or the requested pieces of
// it.
func (s *Source) ConfigurationPieces(ctx context.Context, in *wire.ConfigurationRequest) (*wire.ConfigurationResponse, error) {
	installed := s.awaitInstalled(ctx, in.Version, time.Duration(in.WaitMilliseconds)*time.Millisecond)
	out, err := s.configText.answer(installed, in)
	if err != nil {
		s.log.Error().Str("event", "configuration_not_given").Uint64("version", installed.Version).Str("error", err.Error()).Msg("")
		return nil, twirp.InternalErrorWith(err)
	}
	if len(in.Pieces) == 0 {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.configRequests++
	}
	return out, nil
}

// logConfigRequests logs the number of requests for the configuration since the last such line; mu
// must be held.
func (s *Source) logConfigRequests() {
	if s.configRequests == 0 {
		return
	}
	s.log.Info().Str("event", "configuration_given").Uint64("version", s.installed.Version).Int("bytes", len(s.installed.Text)).Int("times", s.configRequests).Msg("")
	s.configRequests = 0
}

// awaitInstalled returns the configuration once it has at least the given version, or when the wait
// is over. If this control instance applies a change some milliseconds later than the one that
// announced it, an entry thus need not turn to that one, to which all others turn as well.
func (s *Source) awaitInstalled(ctx context.Context, version uint64, wait time.Duration) ledger.Installed {
	timer := time.NewTimer(min(wait, maxWait))
	defer timer.Stop()
	for {
		s.mu.Lock()
		installed := s.installed
		changed := s.own.changed
		s.mu.Unlock()
		if installed.Version >= version {
			return installed
		}
		select {
		case <-changed:
		case <-timer.C:
			return installed
		case <-ctx.Done():
			return installed
		}
	}
}

// answer splits the text at the first request for it instead of when it is installed: installing
// runs in the loop of the control log, which must not be blocked by a long text.
func (t *configRepository) answer(installed ledger.Installed, in *wire.ConfigurationRequest) (*wire.ConfigurationResponse, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if installed.Version > t.version {
		err := t.repository.Put(installed.Text)
		if err != nil {
			return nil, errors.Wrapf(err, "version %d", installed.Version)
		}
		t.version, t.sharedSince = installed.Version, installed.SharedSince
	}
	out := &wire.ConfigurationResponse{Version: t.version}
	if len(in.Pieces) > 0 {
		out.Packed = t.repository.Compressed(toIDs(in.Pieces), min(int(in.MostBytes), maxPiecesBytes))
		return out, nil
	}
	refs, size := t.repository.Newest()
	out.Manifest = fromRefs(refs)
	out.SharedSince = t.sharedSince
	if size <= inlineBytes {
		out.Packed = t.repository.Compressed(idsOf(refs), size)
	}
	return out, nil
}

func idsOf(refs []chunks.Ref) []chunks.ID {
	out := make([]chunks.ID, 0, len(refs))
	for _, ref := range refs {
		out = append(out, ref.ID)
	}
	return out
}
