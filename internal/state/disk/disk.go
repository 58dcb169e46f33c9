// Package disk stores a replica's Raft log and snapshot in one data folder.
//
// "incarnation" holds the folder's id, which is written once and never changes.
// "snapshot" and "log" are replaced atomically: a temporary file is written and
// synced, then renamed, and the folder is synced. The log is a sequence of
// frames, each with a magic number, a length and a checksum; Append writes one
// frame and syncs it.
//
// Invariant: only the last frame can be torn, because each frame is synced
// before the next one is written. Open therefore truncates an invalid tail, but
// fails when a valid frame follows an invalid one: a crash cannot cause that, so
// the file is corrupt.
package disk

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"hash/crc32"
	"os"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/shedrock/shedrock/internal/state/command"
)

const (
	incarnationFile = "incarnation"
	snapshotFile    = "snapshot"
	logFile         = "log"
	temporarySuffix = ".new"

	frameMagic  = 0x5ED10C07
	headerBytes = 12
	filePerm    = 0o600
	folderPerm  = 0o700
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrDamaged is wrapped by Open's error when a file in the folder is corrupt in a
// way that a crash cannot cause.
var ErrDamaged = errors.New("the data folder is damaged")

// Folder is an open data folder. It is not safe for concurrent use.
type Folder struct {
	path        string
	incarnation string
	created     bool
	// lock is the incarnation file, on which flock is held while the folder is open.
	lock *os.File
	// log is always the file that has the log's name, so that the next Open finds what is appended.
	log *os.File
	// renameUnsynced is true while a loss of power may restore the former log in place of the renamed file.
	// Nothing is appended meanwhile.
	renameUnsynced bool
	// size is the length in bytes of the log's complete, synced frames.
	size      int64
	truncated int64
	image     *command.Image
	// BeforeWrite, when set, is called before each write; if it returns an error, the
	// write fails with it. Tests use it to simulate a full disk.
	BeforeWrite func() error
	// BeforeFolderSync, when set, is called before each sync of the folder; if it returns an error, the sync
	// fails with it. Tests use it to simulate a failing disk.
	BeforeFolderSync func() error
}

// Open opens a data folder, and creates it if it does not exist. onFrame is called
// with each frame of the log, in order.
func Open(path string, onFrame func(*command.Frame)) (*Folder, error) {
	err := os.MkdirAll(path, folderPerm)
	if err != nil {
		return nil, errors.Wrap(err, "create the data folder")
	}
	f := &Folder{path: path}
	err = f.openIncarnation()
	if err != nil {
		return nil, err
	}
	err = f.acquireLock()
	if err != nil {
		return nil, err
	}
	err = f.readSnapshot()
	if err != nil {
		return nil, err
	}
	f.log, err = os.OpenFile(f.file(logFile), os.O_RDWR|os.O_CREATE, filePerm)
	if err != nil {
		return nil, errors.Wrap(err, "open the log")
	}
	err = f.replay(onFrame)
	if err != nil {
		_ = f.log.Close()
		return nil, err
	}
	return f, syncFolder(path)
}

func (f *Folder) file(name string) string { return filepath.Join(f.path, name) }

// Incarnation returns the folder's id, which never changes.
func (f *Folder) Incarnation() string { return f.incarnation }

// Created reports whether this Open generated the folder's incarnation.
func (f *Folder) Created() bool { return f.created }

// Image returns the stored snapshot, or nil when there is none.
func (f *Folder) Image() *command.Image { return f.image }

// TruncatedBytes returns the length of the torn tail that Open truncated.
func (f *Folder) TruncatedBytes() int64 { return f.truncated }

// LogSize returns the length of the log in bytes.
func (f *Folder) LogSize() int64 { return f.size }

// Close closes the log and releases the folder's lock.
func (f *Folder) Close() error {
	err := f.log.Close()
	_ = f.lock.Close()
	return errors.Wrap(err, "close the log")
}

// acquireLock prevents a second process from opening the folder: two processes
// with one incarnation could vote twice.
func (f *Folder) acquireLock() error {
	lock, err := os.Open(f.file(incarnationFile))
	if err != nil {
		return errors.Wrap(err, "open the incarnation")
	}
	err = syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err != nil {
		_ = lock.Close()
		return errors.Wrapf(err, "another process uses %s", f.path)
	}
	f.lock = lock
	return nil
}

func (f *Folder) openIncarnation() error {
	b, err := os.ReadFile(f.file(incarnationFile))
	if err == nil {
		f.incarnation = strings.TrimSpace(string(b))
		if f.incarnation == "" {
			return errors.Wrapf(ErrDamaged, "%s is empty", f.file(incarnationFile))
		}
		return nil
	}
	if !os.IsNotExist(err) {
		return errors.Wrap(err, "read the incarnation")
	}
	var id [8]byte
	// rand.Read never returns an error; the runtime aborts the process instead.
	_, _ = rand.Read(id[:])
	f.incarnation = hex.EncodeToString(id[:])
	f.created = true
	return f.writeFileAtomic(incarnationFile, []byte(f.incarnation+"\n"))
}

func (f *Folder) readSnapshot() error {
	b, err := os.ReadFile(f.file(snapshotFile))
	if os.IsNotExist(err) {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "read the snapshot")
	}
	payload, n := parseFrame(b)
	if n != len(b) {
		return errors.Wrapf(ErrDamaged, "%s fails its checksum", f.file(snapshotFile))
	}
	f.image = &command.Image{}
	err = proto.Unmarshal(payload, f.image)
	return errors.Wrap(err, "decode the snapshot")
}

func (f *Folder) replay(onFrame func(*command.Frame)) error {
	b, err := os.ReadFile(f.file(logFile))
	if err != nil {
		return errors.Wrap(err, "read the log")
	}
	offset := 0
	for offset < len(b) {
		payload, n := parseFrame(b[offset:])
		if n == 0 {
			break
		}
		var v command.Frame
		err := proto.Unmarshal(payload, &v)
		if err != nil {
			return errors.Wrapf(ErrDamaged, "%s: the frame at byte %d passes its checksum but does not decode", f.file(logFile), offset)
		}
		onFrame(&v)
		offset += n
	}
	if offset < len(b) && containsFrame(b[offset+1:]) {
		return errors.Wrapf(ErrDamaged, "%s: the frame at byte %d is invalid but valid frames follow it; restore the folder or replace this replica", f.file(logFile), offset)
	}
	f.truncated = int64(len(b) - offset)
	f.size = int64(offset)
	if f.truncated == 0 {
		return nil
	}
	err = f.log.Truncate(f.size)
	if err != nil {
		return errors.Wrap(err, "truncate the torn tail")
	}
	return errors.Wrap(f.log.Sync(), "sync the log")
}

// parseFrame returns the payload of the frame at the start of b and the frame's
// length with its header; n is 0 when b does not begin with a valid frame.
func parseFrame(b []byte) (payload []byte, n int) {
	if len(b) < headerBytes || binary.LittleEndian.Uint32(b) != frameMagic {
		return nil, 0
	}
	length := int(binary.LittleEndian.Uint32(b[4:]))
	if length > len(b)-headerBytes {
		return nil, 0
	}
	payload = b[headerBytes : headerBytes+length]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(b[8:]) {
		return nil, 0
	}
	return payload, headerBytes + length
}

// containsFrame reports whether a valid frame starts at any offset in b.
func containsFrame(b []byte) bool {
	for i := range b {
		if _, n := parseFrame(b[i:]); n > 0 {
			return true
		}
	}
	return false
}

func encodeFrame(payload []byte) []byte {
	b := make([]byte, headerBytes, headerBytes+len(payload))
	binary.LittleEndian.PutUint32(b, frameMagic)
	binary.LittleEndian.PutUint32(b[4:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(b[8:], crc32.Checksum(payload, castagnoli))
	return append(b, payload...)
}

// Append writes one frame and syncs it. After an error the frame is not part of the
// log: the next Append, or the next Open, continues at the same offset.
func (f *Folder) Append(v *command.Frame) error {
	payload, err := proto.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "encode a frame")
	}
	if f.BeforeWrite != nil {
		if err := f.BeforeWrite(); err != nil {
			return err
		}
	}
	if f.renameUnsynced {
		err = f.syncRename()
		if err != nil {
			return err
		}
	}
	b := encodeFrame(payload)
	_, err = f.log.WriteAt(b, f.size)
	if err != nil {
		return f.discardPartialFrame(errors.Wrap(err, "write the log"))
	}
	err = f.log.Sync()
	if err != nil {
		return f.discardPartialFrame(errors.Wrap(err, "sync the log"))
	}
	f.size += int64(len(b))
	return nil
}

// discardPartialFrame truncates the log to its complete frames after a failed write,
// such as one on a full disk. The truncation may fail as well; the frame's checksum
// then lets the next Open detect the partial frame.
func (f *Folder) discardPartialFrame(err error) error {
	_ = f.log.Truncate(f.size)
	return err
}

// SaveSnapshot stores a snapshot durably.
func (f *Folder) SaveSnapshot(image *command.Image) error {
	payload, err := proto.Marshal(image)
	if err != nil {
		return errors.Wrap(err, "encode a snapshot")
	}
	return f.writeFileAtomic(snapshotFile, encodeFrame(payload))
}

// RewriteLog replaces the log by one frame with the state that the snapshot does not
// cover. Call it only after SaveSnapshot has stored the rest. After an error the log holds
// either the same entries as before or that frame.
func (f *Folder) RewriteLog(v *command.Frame) error {
	payload, err := proto.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "encode a frame")
	}
	if f.BeforeWrite != nil {
		if err := f.BeforeWrite(); err != nil {
			return err
		}
	}
	b := encodeFrame(payload)
	temporary := f.file(logFile) + temporarySuffix
	log, err := createSynced(temporary, b)
	if err == nil {
		err = os.Rename(temporary, f.file(logFile))
		if err != nil {
			_ = log.Close()
		}
	}
	if err != nil {
		_ = os.Remove(temporary)
		return errors.Wrap(err, "write the new log")
	}
	_ = f.log.Close()
	f.log = log
	f.size = int64(len(b))
	f.renameUnsynced = true
	return f.syncRename()
}

// syncRename syncs the folder, so that the log's name stays with its file.
func (f *Folder) syncRename() error {
	if f.BeforeFolderSync != nil {
		if err := f.BeforeFolderSync(); err != nil {
			return err
		}
	}
	err := syncFolder(f.path)
	f.renameUnsynced = err != nil
	return err
}

// writeFileAtomic replaces a file of the folder durably and atomically.
func (f *Folder) writeFileAtomic(name string, content []byte) error {
	if f.BeforeWrite != nil {
		if err := f.BeforeWrite(); err != nil {
			return err
		}
	}
	return WriteFileAtomic(f.file(name), content)
}

// WriteFileAtomic replaces the content of a file durably and atomically: after a crash
// the file holds either its old content or all of the new content.
func WriteFileAtomic(path string, content []byte) error {
	temporary := path + temporarySuffix
	err := writeSynced(temporary, content)
	if err != nil {
		_ = os.Remove(temporary)
		return errors.Wrapf(err, "write %s", path)
	}
	err = os.Rename(temporary, path)
	if err != nil {
		return errors.Wrapf(err, "put %s in place", path)
	}
	return syncFolder(filepath.Dir(path))
}

func writeSynced(path string, content []byte) error {
	file, err := createSynced(path, content)
	if err != nil {
		return err
	}
	return file.Close()
}

// createSynced creates or truncates a file and writes its content durably. The file is open for reading and writing.
func createSynced(path string, content []byte) (*os.File, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_TRUNC, filePerm)
	if err != nil {
		return nil, err
	}
	_, err = file.Write(content)
	if err == nil {
		err = file.Sync()
	}
	if err != nil {
		_ = file.Close()
		return nil, err
	}
	return file, nil
}

func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "open the data folder")
	}
	err = folder.Sync()
	_ = folder.Close()
	return errors.Wrap(err, "sync the data folder")
}
