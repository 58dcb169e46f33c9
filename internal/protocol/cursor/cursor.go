// Package cursor seals the place in a stream at which a caller stands.
//
// The cursor travels as the id of each event. Any entry instance that has the
// key can open it and go on from the engine, so no entry keeps streams for
// another. The team is sealed in: another team's cursor does not open.
package cursor

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"

	"github.com/pkg/errors"
)

// Position is where a stream stands. It is a plain value.
type Position struct {
	// Upstream is the name of the engine that runs the run.
	Upstream string
	// Run is the run's id.
	Run string
	// Offset is the number of events the caller has been sent.
	Offset uint64
}

// ErrRefused is returned for a cursor that does not open for the team.
var ErrRefused = errors.New("cursor: not a cursor of this team")

// Sealer seals and opens cursors. It is safe for concurrent use.
type Sealer struct {
	// aeads holds at least one key; the first seals, all open.
	aeads []cipher.AEAD
}

// NewSealer returns a sealer over secrets: the first one seals, and the others
// are still accepted, so that a key can be changed without breaking streams.
func NewSealer(secrets ...[]byte) (*Sealer, error) {
	if len(secrets) == 0 {
		return nil, errors.New("cursor: at least one secret is needed")
	}
	s := &Sealer{}
	for _, secret := range secrets {
		key := sha256.Sum256(append([]byte("shedrock cursor\x00"), secret...))
		block, err := aes.NewCipher(key[:])
		if err != nil {
			return nil, errors.Wrap(err, "cursor: cipher")
		}
		aead, err := cipher.NewGCM(block)
		if err != nil {
			return nil, errors.Wrap(err, "cursor: mode")
		}
		s.aeads = append(s.aeads, aead)
	}
	return s, nil
}

// AppendSeal appends the cursor of a place in a team's stream to dst.
func (s *Sealer) AppendSeal(dst []byte, team string, p Position) []byte {
	aead := s.aeads[0]
	var plain [256]byte
	body := binary.AppendUvarint(plain[:0], p.Offset)
	body = binary.AppendUvarint(body, uint64(len(p.Upstream)))
	body = append(body, p.Upstream...)
	body = append(body, p.Run...)
	var box [512]byte
	nonce := box[:aead.NonceSize()]
	// rand.Read never fails: the runtime stops the process instead.
	_, _ = rand.Read(nonce)
	sealed := aead.Seal(nonce, nonce, body, []byte(team))
	return base64.RawURLEncoding.AppendEncode(dst, sealed)
}

// Open returns the place that a cursor of the team stands for. Its only error
// is ErrRefused.
func (s *Sealer) Open(team, cursor string) (Position, error) {
	sealed, err := base64.RawURLEncoding.DecodeString(cursor)
	if err != nil {
		return Position{}, ErrRefused
	}
	for _, aead := range s.aeads {
		n := aead.NonceSize()
		if len(sealed) < n {
			return Position{}, ErrRefused
		}
		body, err := aead.Open(nil, sealed[:n], sealed[n:], []byte(team))
		if err == nil {
			return decode(body)
		}
	}
	return Position{}, ErrRefused
}

func decode(body []byte) (Position, error) {
	offset, n := binary.Uvarint(body)
	if n <= 0 {
		return Position{}, ErrRefused
	}
	body = body[n:]
	length, n := binary.Uvarint(body)
	if n <= 0 || length > uint64(len(body)-n) {
		return Position{}, ErrRefused
	}
	body = body[n:]
	return Position{Upstream: string(body[:length]), Run: string(body[length:]), Offset: offset}, nil
}
