package streams

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/streamorigin"
	"github.com/shedrock/shedrock/internal/protocol/wire"
)

const (
	// syncPause is the pause between two syncs of the log. Records that a power loss takes are of unknown origin.
	syncPause = 50 * time.Millisecond
	// maxLogBytes limits each of the two files.
	maxLogBytes = 16 << 20
	logFileMode = 0o600
)

// recordLog keeps records over restarts of the process, in two files that are written by turns: each holds the records of
// at least the last Retention before it is written again. An origin never changes, so a record that is read late or twice
// does no harm. It is safe for concurrent use.
type recordLog struct {
	log *log.Logger

	mu sync.Mutex
	// The fields below are guarded by mu. current is the index of the file that is written, size its size and since when
	// it has been written.
	files    [2]*os.File
	current  int
	size     int
	since    time.Time
	isDirty  bool
	isFailed bool
}

// openLog opens the files that begin with a path and returns what they hold.
func openLog(path string, logger *log.Logger) (*recordLog, []streamorigin.Record, error) {
	l := &recordLog{log: logger, since: clock.Now()}
	var records []streamorigin.Record
	for i := range l.files {
		f, err := os.OpenFile(fmt.Sprintf("%s.%d", path, i), os.O_CREATE|os.O_RDWR, logFileMode)
		if err != nil {
			l.close()
			return nil, nil, errors.Wrap(err, "open the log of stream origins")
		}
		l.files[i] = f
		records = append(records, readRecords(f)...)
	}
	// Writing goes on in an empty file, so that nothing follows a record that was cut off.
	l.turn(clock.Now())
	l.append(records)
	return l, records, nil
}

// readRecords returns the records before the first that is cut off or damaged.
func readRecords(f *os.File) (out []streamorigin.Record) {
	r := bufio.NewReader(io.LimitReader(f, maxLogBytes))
	for {
		var message wire.ShareRequest
		err := protodelim.UnmarshalFrom(r, &message)
		if err != nil {
			return out
		}
		records, ok := wire.ToOrigins(message.Origins)
		if !ok {
			return out
		}
		out = append(out, records...)
	}
}

// turn goes on with the other file, which is emptied; mu must be held after openLog has returned.
func (l *recordLog) turn(now time.Time) {
	l.current = 1 - l.current
	l.since, l.size = now, 0
	f := l.files[l.current]
	if err := f.Truncate(0); err != nil {
		l.fail(err)
		return
	}
	if _, err := f.Seek(0, io.SeekStart); err != nil {
		l.fail(err)
	}
}

// append writes records. They are durable some time later.
func (l *recordLog) append(records []streamorigin.Record) {
	if l == nil || len(records) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.Now()
	if now.Sub(l.since) >= streamorigin.Retention {
		l.turn(now)
	}
	if l.size >= maxLogBytes {
		return
	}
	n, err := protodelim.MarshalTo(l.files[l.current], &wire.ShareRequest{Origins: wire.FromOrigins(records)})
	l.size += n
	l.isDirty = true
	if err != nil {
		l.fail(err)
		return
	}
	l.isFailed = false
}

// fail logs the first of several failures in a row. What could not be written is kept in memory only.
func (l *recordLog) fail(err error) {
	if l.isFailed {
		return
	}
	l.isFailed = true
	l.log.Error().Str("event", "stream_origins_not_written").Str("error", err.Error()).Msg("")
}

// run syncs what was written until ctx ends, and then closes the files.
func (l *recordLog) run(ctx context.Context) {
	ticker := time.NewTicker(syncPause)
	defer ticker.Stop()
	defer l.close()
	for {
		select {
		case <-ticker.C:
			l.sync()
		case <-ctx.Done():
			return
		}
	}
}

func (l *recordLog) sync() {
	l.mu.Lock()
	f, isDirty := l.files[l.current], l.isDirty
	l.isDirty = false
	l.mu.Unlock()
	if !isDirty {
		return
	}
	if err := f.Sync(); err != nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.fail(err)
	}
}

func (l *recordLog) close() {
	for _, f := range l.files {
		if f != nil {
			// What it holds is of no use for longer than Retention.
			_ = f.Close()
		}
	}
}
