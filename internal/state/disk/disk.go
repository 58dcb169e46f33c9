// Package disk keeps a replica's log and snapshot in one data folder.
//
// Files: "incarnation" names the folder for ever; "snapshot" and "log" are each
// replaced whole by writing a temporary file, syncing it, renaming it and
// syncing the folder. The log is a row of frames, each with a magic number, a
// length and a checksum; one Append writes one frame and syncs it.
//
// Invariant: at most the last frame can be torn, because every earlier one was
// synced before it was begun. Open therefore cuts a bad tail, and refuses a
// folder in which a whole frame stands behind a bad one: that is damage, not a
// crash.
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

// ErrDamaged is wrapped by Open when the folder holds damage that a crash cannot
// explain.
var ErrDamaged = errors.New("the data folder is damaged")

// Folder is an open data folder. It is not safe for concurrent use.
type Folder struct {
	path        string
	incarnation string
	fresh       bool
	// lock is held on the incarnation file for as long as the folder is open.
	lock *os.File
	log  *os.File
	// size is the length of the log's whole and synced frames.
	size  int64
	cut   int64
	image *command.Image
	// BeforeWrite, when set, is asked before each write, and its error stands for the
	// disk's; tests use it as a full disk.
	BeforeWrite func() error
}

// Open opens a data folder, and makes it when it is not there. entries receives
// each frame in order.
func Open(path string, frame func(*command.Frame)) (*Folder, error) {
	err := os.MkdirAll(path, folderPerm)
	if err != nil {
		return nil, errors.Wrap(err, "make the data folder")
	}
	f := &Folder{path: path}
	err = f.openIncarnation()
	if err != nil {
		return nil, err
	}
	err = f.takeLock()
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
	err = f.replay(frame)
	if err != nil {
		_ = f.log.Close()
		return nil, err
	}
	return f, syncFolder(path)
}

func (f *Folder) file(name string) string { return filepath.Join(f.path, name) }

// Incarnation returns the name that this folder has for as long as it exists.
func (f *Folder) Incarnation() string { return f.incarnation }

// Created reports whether this Open made the folder's incarnation.
func (f *Folder) Created() bool { return f.fresh }

// Image returns the stored snapshot, or nil when there is none.
func (f *Folder) Image() *command.Image { return f.image }

// TruncatedBytes returns how many bytes of a torn tail Open dropped.
func (f *Folder) TruncatedBytes() int64 { return f.cut }

// LogSize returns the length of the log in bytes.
func (f *Folder) LogSize() int64 { return f.size }

// Close closes the log and lets another process open the folder.
func (f *Folder) Close() error {
	err := f.log.Close()
	_ = f.lock.Close()
	return errors.Wrap(err, "close the log")
}

// takeLock keeps a second process out of the folder; two of them under one
// incarnation could vote twice.
func (f *Folder) takeLock() error {
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
	// rand.Read never fails: the runtime stops the process instead.
	_, _ = rand.Read(id[:])
	f.incarnation = hex.EncodeToString(id[:])
	f.fresh = true
	return f.replace(incarnationFile, []byte(f.incarnation+"\n"))
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

func (f *Folder) replay(frame func(*command.Frame)) error {
	b, err := os.ReadFile(f.file(logFile))
	if err != nil {
		return errors.Wrap(err, "read the log")
	}
	at := 0
	for at < len(b) {
		payload, n := parseFrame(b[at:])
		if n == 0 {
			break
		}
		var v command.Frame
		err := proto.Unmarshal(payload, &v)
		if err != nil {
			return errors.Wrapf(ErrDamaged, "%s: the frame at byte %d passes its checksum but does not decode", f.file(logFile), at)
		}
		frame(&v)
		at += n
	}
	if at < len(b) && frameBehind(b[at+1:]) {
		return errors.Wrapf(ErrDamaged, "%s: the frame at byte %d is bad and whole ones follow it; restore the folder or replace this replica", f.file(logFile), at)
	}
	f.cut = int64(len(b) - at)
	f.size = int64(at)
	if f.cut == 0 {
		return nil
	}
	err = f.log.Truncate(f.size)
	if err != nil {
		return errors.Wrap(err, "cut the torn tail")
	}
	return errors.Wrap(f.log.Sync(), "sync the log")
}

// parseFrame returns the payload of the frame at the start of b and the length
// of the whole frame, or 0 when there is no whole frame.
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

// frameBehind reports whether a whole frame starts anywhere in b.
func frameBehind(b []byte) bool {
	for i := range b {
		if _, n := parseFrame(b[i:]); n > 0 {
			return true
		}
	}
	return false
}

func makeFrame(payload []byte) []byte {
	b := make([]byte, headerBytes, headerBytes+len(payload))
	binary.LittleEndian.PutUint32(b, frameMagic)
	binary.LittleEndian.PutUint32(b[4:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(b[8:], crc32.Checksum(payload, castagnoli))
	return append(b, payload...)
}

// Append writes one frame and syncs it. After an error nothing of it counts: the
// next Append, or the next Open, begins at the same place.
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
	b := makeFrame(payload)
	_, err = f.log.WriteAt(b, f.size)
	if err != nil {
		return f.undo(errors.Wrap(err, "write the log"))
	}
	err = f.log.Sync()
	if err != nil {
		return f.undo(errors.Wrap(err, "sync the log"))
	}
	f.size += int64(len(b))
	return nil
}

// undo cuts a half-written frame off, so that no garbage is left behind a full
// disk. The cut may fail as well; the checksum still guards the next Open.
func (f *Folder) undo(err error) error {
	_ = f.log.Truncate(f.size)
	return err
}

// SaveSnapshot stores a snapshot durably.
func (f *Folder) SaveSnapshot(image *command.Image) error {
	payload, err := proto.Marshal(image)
	if err != nil {
		return errors.Wrap(err, "encode a snapshot")
	}
	return f.replace(snapshotFile, makeFrame(payload))
}

// RewriteLog replaces the log by one frame, which holds what the snapshot does not.
// It must follow the Save that made the rest needless.
func (f *Folder) RewriteLog(v *command.Frame) error {
	payload, err := proto.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "encode a frame")
	}
	b := makeFrame(payload)
	err = f.replace(logFile, b)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(f.file(logFile), os.O_RDWR, filePerm)
	if err != nil {
		return errors.Wrap(err, "open the new log")
	}
	_ = f.log.Close()
	f.log = log
	f.size = int64(len(b))
	return nil
}

// replace puts a file's whole content in place durably.
func (f *Folder) replace(name string, content []byte) error {
	if f.BeforeWrite != nil {
		if err := f.BeforeWrite(); err != nil {
			return err
		}
	}
	return WriteFileAtomic(f.file(name), content)
}

// WriteFileAtomic puts a file's whole content in place durably: after a crash the file holds
// either what it held or all of the new.
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
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, filePerm)
	if err != nil {
		return err
	}
	_, err = file.Write(content)
	if err == nil {
		err = file.Sync()
	}
	closeErr := file.Close()
	if err != nil {
		return err
	}
	return closeErr
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
