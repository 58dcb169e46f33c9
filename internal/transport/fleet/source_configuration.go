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
	// inlineBytes is up to which size, packed, all pieces come along with the manifest: a
	// configuration of some dozen routes takes one call and not two.
	inlineBytes = 16 << 10
	// maxPiecesBytes bounds the pieces of one answer, whatever the caller asks for.
	maxPiecesBytes = 256 << 10
)

// textLibrary holds the text of the configuration in pieces. It is safe for concurrent use.
type textLibrary struct {
	mu sync.Mutex
	// The fields below are guarded by mu.
	version uint64
	library chunks.Repository
}

// ConfigurationPieces tells what the configuration's text consists of, or gives pieces of it.
func (s *Source) ConfigurationPieces(ctx context.Context, in *wire.ConfigurationRequest) (*wire.ConfigurationResponse, error) {
	installed := s.awaitInstalled(ctx, in.Version, time.Duration(in.WaitMilliseconds)*time.Millisecond)
	out, err := s.text.answer(installed, in)
	if err != nil {
		s.log.Error().Str("event", "configuration_not_given").Uint64("version", installed.Version).Str("error", err.Error()).Msg("")
		return nil, twirp.InternalErrorWith(err)
	}
	if len(in.Pieces) == 0 {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.given++
	}
	return out, nil
}

// noteGiven logs how many asked for the configuration since the last line; mu must be held.
func (s *Source) noteGiven() {
	if s.given == 0 {
		return
	}
	s.log.Info().Str("event", "configuration_given").Uint64("version", s.installed.Version).Int("bytes", len(s.installed.Text)).Int("times", s.given).Msg("")
	s.given = 0
}

// awaitInstalled returns the configuration once it has at least some version, or after a wait.
// An entry that asks a control instance which applies a change some milliseconds later than
// the one that told of it need not turn to that one, as all others do.
func (s *Source) awaitInstalled(ctx context.Context, version uint64, wait time.Duration) ledger.Installed {
	timer := time.NewTimer(min(wait, maxWait))
	defer timer.Stop()
	for {
		s.mu.Lock()
		installed := s.installed
		changed := s.changed
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

// answer cuts the text when it is asked for first, and not when it is installed: that is done
// in the loop of the control log, which has no time to spare for a long text.
func (t *textLibrary) answer(installed ledger.Installed, in *wire.ConfigurationRequest) (*wire.ConfigurationResponse, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if installed.Version > t.version {
		err := t.library.Put(installed.Text)
		if err != nil {
			return nil, errors.Wrapf(err, "version %d", installed.Version)
		}
		t.version = installed.Version
	}
	out := &wire.ConfigurationResponse{Version: t.version}
	if len(in.Pieces) > 0 {
		out.Packed = t.library.Compressed(toIDs(in.Pieces), min(int(in.MostBytes), maxPiecesBytes))
		return out, nil
	}
	refs, size := t.library.Newest()
	out.Manifest = fromRefs(refs)
	if size <= inlineBytes {
		out.Packed = t.library.Compressed(idsOf(refs), size)
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
