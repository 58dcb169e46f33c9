// Package cursor encrypts a client's position in an event stream.
//
// The cursor is sent as the id of each event. Any entry instance that has the
// key can decrypt it and resume the stream from the engine, so entry instances
// share no stream state. The team is authenticated as additional data, so a
// cursor cannot be decrypted for another team.
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

// Position is a position in a run's event stream.
type Position struct {
	// Upstream is the name of the engine that executes the run.
	Upstream string
	// Run is the run's id.
	Run string
	// Offset is the number of events sent to the client so far.
	Offset uint64
}

// ErrRefused is returned for a cursor that is malformed or cannot be decrypted for the team.
var ErrRefused = errors.New("cursor: not a cursor of this team")

// Sealer encrypts and decrypts cursors with AES-256-GCM. It is safe for concurrent use.
type Sealer struct {
	// aeads holds one AEAD for each key, at least one. The first encrypts; all are tried for decryption.
	aeads []cipher.AEAD
}

// NewSealer returns a Sealer that encrypts with the first secret and decrypts
// with any of them, so that keys can be rotated without breaking open streams.
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

// AppendSeal appends the encoded cursor for a position in a team's stream to dst.
func (s *Sealer) AppendSeal(dst []byte, team string, p Position) []byte {
	aead := s.aeads[0]
	var plaintextBuf [256]byte
	plaintext := binary.AppendUvarint(plaintextBuf[:0], p.Offset)
	plaintext = binary.AppendUvarint(plaintext, uint64(len(p.Upstream)))
	plaintext = append(plaintext, p.Upstream...)
	plaintext = append(plaintext, p.Run...)
	var buf [512]byte
	nonce := buf[:aead.NonceSize()]
	// rand.Read never returns an error: the runtime aborts the process instead.
	_, _ = rand.Read(nonce)
	sealed := aead.Seal(nonce, nonce, plaintext, []byte(team))
	return base64.RawURLEncoding.AppendEncode(dst, sealed)
}

// Open decrypts a cursor of the team and returns its position. Its only error
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
		plaintext, err := aead.Open(nil, sealed[:n], sealed[n:], []byte(team))
		if err == nil {
			return decode(plaintext)
		}
	}
	return Position{}, ErrRefused
}

func decode(plaintext []byte) (Position, error) {
	offset, n := binary.Uvarint(plaintext)
	if n <= 0 {
		return Position{}, ErrRefused
	}
	plaintext = plaintext[n:]
	length, n := binary.Uvarint(plaintext)
	if n <= 0 || length > uint64(len(plaintext)-n) {
		return Position{}, ErrRefused
	}
	plaintext = plaintext[n:]
	return Position{Upstream: string(plaintext[:length]), Run: string(plaintext[length:]), Offset: offset}, nil
}
