package detour

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/detour"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/transport/httpserve"
)

const (
	// MaxForwarded is how many attempts of other entries one entry has in flight at most.
	MaxForwarded = 256
	// maxRequestBytes limits an attempt with its body.
	maxRequestBytes = 17 << 20
	// frameTimeout bounds each write to the entry that sent the attempt.
	frameTimeout = 5 * time.Second
	// senderLogInterval is how often it is logged for which entry this one forwards.
	senderLogInterval = 10 * time.Second
	// maxSenders bounds the entries that are remembered for the log.
	maxSenders = 1024
)

// errUnknownInstance reports that this entry does not know the instance that an attempt is for.
var errUnknownInstance = errors.New("the peer does not know the instance")

// Forwarder passes on attempts of other entries. It is an http.Handler. Set the exported fields before its use.
type Forwarder struct {
	// Upstreams is this entry's own.
	Upstreams *Upstreams
	// Send sends an attempt directly, and records at this entry the condition that the instance reports.
	Send func(ctx context.Context, a *exchange.Attempt) exchange.Reply
	// Knows reports whether an instance is one that this entry would send requests to.
	Knows func(in registry.Instance) bool
	// Stopping reports whether this entry is about to end.
	Stopping func() bool
	Metrics  *Metrics
	// Log receives a line when this entry begins to forward for another.
	Log *log.Logger

	inFlight atomic.Int64

	mu sync.Mutex
	// senders holds when a line was last logged about each entry; it is guarded by mu.
	senders map[string]time.Time
}

// ServeHTTP passes on one attempt, and recovers from panics.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var id string
	httpserve.Recoverer{
		Handler:   http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.serve(w, r, &id) }),
		RequestID: func(http.Header, *http.Request) string { return id },
		// Nothing was passed on before the response began, so the sender may take it for declined.
		Fail:  func(w http.ResponseWriter, _ string) { http.Error(w, "internal error", http.StatusBadGateway) },
		Count: f.Metrics.forwarded.WithLabelValues("panicked").Inc, Log: f.Log,
	}.ServeHTTP(w, r)
}

// serve passes on one attempt, and sets id to that of its request.
func (f *Forwarder) serve(w http.ResponseWriter, r *http.Request, id *string) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	in := &wire.ForwardRequest{}
	if err == nil {
		err = proto.Unmarshal(body, in)
	}
	if err != nil {
		http.Error(w, "unreadable attempt: "+err.Error(), http.StatusBadRequest)
		return
	}
	*id = string(in.Id)
	defer f.inFlight.Add(-1)
	if why := f.admit(toInstance(in), f.inFlight.Add(1)); why != 0 {
		f.Metrics.forwarded.WithLabelValues(why.String()).Inc()
		w.Header().Set(headerDecline, strconv.Itoa(int(why)))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	f.Metrics.forwarded.WithLabelValues("passed_on").Inc()
	f.Metrics.forwarding.Inc()
	defer f.Metrics.forwarding.Dec()
	f.logSender(in)
	out := frameWriter{w: w, controller: http.NewResponseController(w)}
	w.WriteHeader(http.StatusOK)
	// The sender learns at once that the attempt was accepted.
	err = out.flush()
	if err != nil {
		f.recordBroken(in, 0, err)
		return
	}
	f.forward(r.Context(), in, out)
}

// InFlight returns how many attempts of other entries are being passed on.
func (f *Forwarder) InFlight() int64 { return f.inFlight.Load() }

// admit returns why an attempt is declined, or 0.
func (f *Forwarder) admit(target registry.Instance, inFlight int64) detour.Decline {
	if f.Stopping() {
		return detour.DeclineUnreachable
	}
	if inFlight > MaxForwarded {
		return detour.DeclineBusy
	}
	switch f.Upstreams.State(target.Service) {
	case detour.Lost:
		return detour.DeclineNoPath
	case detour.OpenConnectionsOnly:
		if !f.Upstreams.Direct.HasIdle(target) {
			return detour.DeclineNoPath
		}
	}
	return 0
}

// forward sends an attempt and writes the reply.
func (f *Forwarder) forward(ctx context.Context, in *wire.ForwardRequest, out frameWriter) {
	a := toAttempt(in, clock.Now())
	if !a.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, clock.Deadline(a.Deadline.Add(linkGrace)))
		defer cancel()
	}
	// A failed write ends the attempt: the link to its sender broke, or the sender has given it up.
	switch {
	case !f.Knows(a.Instance):
		err := out.write(fromReply(exchange.Unreached{Err: errUnknownInstance}), true)
		f.recordBroken(in, 0, err)
		return
	case in.RefusalProbe:
		refuses := f.Upstreams.Direct.Refuses(ctx, a.Instance)
		err := out.write(&wire.ForwardFrame{Frame: &wire.ForwardFrame_Refuses{Refuses: &wire.ForwardRefuses{Refuses: refuses}}}, true)
		f.recordBroken(in, 0, err)
		return
	}
	reply := f.Send(ctx, a)
	stream, streamed := reply.(exchange.Stream)
	if streamed {
		defer stream.Events.Close()
	}
	err := out.write(fromReply(reply), true)
	events := 0
	for err == nil && streamed {
		streamed, err = forwardEvent(stream.Events, out)
		if err == nil && streamed {
			events++
		}
	}
	f.recordBroken(in, events, err)
}

// recordBroken logs and counts an attempt whose reply could not be written to its sender, if err is not nil. events is
// how many events of the reply were written.
func (f *Forwarder) recordBroken(in *wire.ForwardRequest, events int, err error) {
	if err == nil {
		return
	}
	end := string(httpserve.WriteEndOf(err))
	f.Metrics.brokenForwards.WithLabelValues(in.Service, end).Inc()
	f.Log.Info().Str("event", "forwarded_attempt_broken").Str("request", string(in.Id)).Str("entry", in.Entry).Str("service", in.Service).
		Str("instance", in.Instance).Str("sender", end).Int("events", events).Str("error", err.Error()).Msg("")
}

// forwardEvent writes the next event of a stream; ok is false after the last one.
func forwardEvent(from exchange.Events, out frameWriter) (ok bool, err error) {
	event, more, err := from.Next()
	switch {
	case err == io.EOF:
		return false, out.write(endFrame(), true)
	case err != nil:
		return false, out.write(fromReply(exchange.Broken{Err: err}), true)
	}
	return true, out.write(eventFrame(event, more), !more)
}

// logSender logs for which entry this one forwards, once in senderLogInterval.
func (f *Forwarder) logSender(in *wire.ForwardRequest) {
	now := clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.senders[in.Entry]) < senderLogInterval {
		return
	}
	if f.senders == nil || len(f.senders) >= maxSenders {
		f.senders = map[string]time.Time{}
	}
	f.senders[in.Entry] = now
	f.Log.Info().Str("event", "forwards_for").Str("entry", in.Entry).Str("service", in.Service).Str("request", string(in.Id)).Int64("in_flight", f.inFlight.Load()).Msg("")
}

// frameWriter writes the frames of one reply.
type frameWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
}

func (w frameWriter) write(frame *wire.ForwardFrame, flush bool) error {
	// The error is ignored: only response writers without deadlines, as in tests, return one.
	_ = w.controller.SetWriteDeadline(time.Now().Add(frameTimeout))
	_, err := protodelim.MarshalTo(w.w, frame)
	if err != nil || !flush {
		return err
	}
	return w.flush()
}

func (w frameWriter) flush() error { return w.controller.Flush() }
