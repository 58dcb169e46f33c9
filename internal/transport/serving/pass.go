package serving

import (
	"io"

	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/retry"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
)

// errOutOfOrder says that an event does not follow the one before.
var errOutOfOrder = errors.New("an event does not follow the one before")

// pass turns a reply into the end of an attempt, and passes on what the caller may have.
// The first event of a stream says that the engine has begun it.
func (j *job) pass(reply exchange.Reply, watch *beginWatch) (retry.Result, error) {
	switch reply := reply.(type) {
	case exchange.Unreached:
		return retry.Unreached{}, reply.Err
	case exchange.NotRun:
		if reply.Misdirected {
			return retry.Misdirected{}, errors.New("another instance has the address, or its weights changed")
		}
		return retry.Refused{}, errors.Errorf("refused with %d", reply.Status)
	case exchange.Broken:
		return retry.Broken{Sent: j.sent()}, reply.Err
	case exchange.Whole:
		return j.passWhole(reply)
	case exchange.Stream:
		defer reply.Events.Close()
		return j.passStream(reply, watch)
	}
	panic("serving: reply outside the sealed set")
}

// sent is the number of the last event that the caller got from this process.
func (j *job) sent() uint64 {
	if !j.began {
		return 0
	}
	return j.last
}

func (j *job) passWhole(a exchange.Whole) (retry.Result, error) {
	if j.began {
		// The stream cannot go on with an answer that is none.
		return retry.Broken{Sent: j.last}, errors.Errorf("answered %d in place of the rest", a.Head.Status)
	}
	if a.Head.Status >= 500 && j.tries.Idempotent {
		j.spare = &a
		return retry.Completed{Status: a.Head.Status}, nil
	}
	j.spare = nil
	j.first = clock.Now()
	err := j.sink.Answer(a)
	if err != nil {
		return retry.CallerGone{}, err
	}
	return retry.Completed{Status: a.Head.Status}, nil
}

func (j *job) passStream(a exchange.Stream, watch *beginWatch) (retry.Result, error) {
	for {
		event, more, err := a.Events.Next()
		if err == io.EOF {
			return j.endStream(a.Head), nil
		}
		if err != nil {
			return retry.Broken{Sent: j.sent()}, err
		}
		watch.begun()
		if event.Number > 0 && event.Number <= j.last {
			if j.began {
				// A run that goes on behind an event may repeat what the caller has.
				continue
			}
			return retry.Broken{Sent: j.sent()}, errOutOfOrder
		}
		if event.Number > j.last+1 && (j.last > 0 || j.began) {
			return retry.Broken{Sent: j.sent()}, errOutOfOrder
		}
		err = j.beginStream(a.Head)
		if err == nil {
			err = j.sink.Event(event.Raw, more)
		}
		if err != nil {
			return retry.CallerGone{}, err
		}
		j.last = max(j.last, event.Number)
	}
}

// beginStream passes the head on before the first event; a stream that another instance
// goes on with keeps its first head.
func (j *job) beginStream(h exchange.Head) error {
	if j.began {
		return nil
	}
	j.began = true
	j.first = clock.Now()
	return j.sink.Begin(h)
}

func (j *job) endStream(h exchange.Head) retry.Result {
	err := j.beginStream(h)
	if err != nil {
		return retry.CallerGone{}
	}
	j.sink.End()
	return retry.Completed{Status: h.Status}
}
