package detour

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/detour"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/transport/connpool"
)

const (
	// Path is the HTTP path of forwarded attempts.
	Path = "/forward"
	// headerDecline holds why a peer does not pass an attempt on.
	headerDecline = "Shedrock-Decline"
	// maxFrameBytes limits a frame; the largest holds a whole answer.
	maxFrameBytes = 17 << 20
	// linkGrace is the time after an attempt's deadline in which the peer may still reply.
	linkGrace = 150 * time.Millisecond
	// maxDeclineBytes limits the body of a response that declines.
	maxDeclineBytes = 4 << 10
)

// linkError reports that the connection to a peer broke. It hides the cause from errors.Is, as nothing
// follows from it about the instance.
type linkError struct{ cause error }

// Error returns the text of the cause.
func (e *linkError) Error() string { return "connection to the peer: " + e.cause.Error() }

// call is one attempt that is sent to one peer.
type call struct {
	pool *connpool.Pool
	conn *connpool.Conn
	res  *http.Response
	// stop unregisters the function that closes the connection when the context is canceled.
	stop func() bool
	// ended is called once when the peer no longer works for the call.
	ended func()
	// broken is called when the link breaks before the end of the reply.
	broken func()
}

// declinedError reports that a peer certainly did not pass an attempt on.
type declinedError struct{ why detour.Decline }

// Error returns the reason.
func (e *declinedError) Error() string { return "the peer did not take the attempt: " + e.why.String() }

// newCall sends an attempt to a peer and returns once the peer has accepted it. After any error but a
// declinedError, the peer may have passed the attempt on.
func newCall(ctx context.Context, pool *connpool.Pool, address string, in *wire.ForwardRequest, deadline time.Time) (*call, error) {
	conn, err := pool.Get(ctx, connpool.Peer{Address: address})
	if err != nil {
		return nil, &declinedError{detour.DeclineUnreachable}
	}
	c := &call{pool: pool, conn: conn, ended: func() {}, broken: func() {}}
	c.stop = context.AfterFunc(ctx, func() { _ = conn.Close() })
	if !deadline.IsZero() {
		err = conn.SetDeadline(clock.Deadline(deadline.Add(linkGrace)))
	}
	var data []byte
	if err == nil {
		data, err = encodeCall(address, in)
	}
	var n int
	if err == nil {
		n, err = conn.Write(data)
	}
	if err != nil {
		c.abandon()
		if n == 0 {
			return nil, &declinedError{detour.DeclineUnreachable}
		}
		return nil, &linkError{err}
	}
	c.res, err = conn.ReadResponse(nil)
	if err != nil {
		c.abandon()
		return nil, &linkError{err}
	}
	if c.res.StatusCode != http.StatusOK {
		return nil, c.readDecline()
	}
	return c, nil
}

func encodeCall(address string, in *wire.ForwardRequest) ([]byte, error) {
	body, err := proto.Marshal(in)
	if err != nil {
		return nil, errors.Wrap(err, "encode an attempt")
	}
	var b bytes.Buffer
	b.Grow(len(body) + 128)
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n", Path, address, len(body))
	b.Write(body)
	return b.Bytes(), nil
}

// readDecline reads why the peer did not take the attempt, and releases the connection.
func (c *call) readDecline() *declinedError {
	why := detour.DeclineUnreachable
	number, err := strconv.Atoi(c.res.Header.Get(headerDecline))
	if err == nil {
		why = detour.Decline(number)
	}
	_, err = io.Copy(io.Discard, io.LimitReader(c.res.Body, maxDeclineBytes))
	c.release(err)
	return &declinedError{why}
}

// reply reads the reply to the attempt. Unless it is a stream, the call has ended then.
func (c *call) reply() exchange.Reply {
	frame, err := c.next()
	if err != nil {
		c.finish(err)
		return exchange.Broken{Err: err}
	}
	switch f := frame.Frame.(type) {
	case *wire.ForwardFrame_Unreached:
		c.finish(nil)
		return exchange.Unreached{Err: toError(f.Unreached.Error)}
	case *wire.ForwardFrame_NotRun:
		c.finish(nil)
		return exchange.NotRun{Status: int(f.NotRun.Status), Misdirected: f.NotRun.Misdirected, Condition: toCondition(f.NotRun.Condition), Header: toHeader(f.NotRun.Header)}
	case *wire.ForwardFrame_Broken:
		c.finish(nil)
		return exchange.Broken{Err: toError(f.Broken.Error), Condition: toCondition(f.Broken.Condition)}
	case *wire.ForwardFrame_Head:
		if f.Head.Whole {
			c.finish(nil)
			return exchange.Whole{Head: toHead(f.Head), Body: f.Head.Body}
		}
		return exchange.Stream{Head: toHead(f.Head), Events: &events{call: c}}
	}
	err = &linkError{errors.Errorf("unexpected frame %T", frame.Frame)}
	c.finish(err)
	return exchange.Broken{Err: err}
}

// refuses reads the reply to a refusal probe.
func (c *call) refuses() bool {
	frame, err := c.next()
	c.finish(err)
	return err == nil && frame.GetRefuses().GetRefuses()
}

func (c *call) next() (*wire.ForwardFrame, error) {
	frame := &wire.ForwardFrame{}
	err := protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}.UnmarshalFrom(byteReader{c.res.Body}, frame)
	if err != nil {
		c.broken()
		return nil, &linkError{err}
	}
	return frame, nil
}

// byteReader adds ReadByte to a body, which reads from a buffer already.
type byteReader struct{ io.Reader }

// ReadByte reads one byte.
func (r byteReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(r.Reader, b[:])
	return b[0], err
}

// finish ends the call. The connection is used again only if err is nil and the answer was read to its end.
func (c *call) finish(err error) {
	if err == nil {
		_, err = io.Copy(io.Discard, io.LimitReader(c.res.Body, maxDeclineBytes))
	}
	c.release(err)
	c.ended()
}

func (c *call) release(err error) {
	if !c.stop() || err != nil || c.res.Close {
		_ = c.conn.Close()
		return
	}
	c.pool.Put(c.conn, 0)
}

func (c *call) abandon() {
	c.stop()
	_ = c.conn.Close()
}

// events reads the events of a stream that comes through a peer. It implements exchange.Events.
type events struct {
	call  *call
	ended bool
}

// Next returns the next event, and whether the following one has already arrived.
func (e *events) Next() (event exchange.Event, more bool, err error) {
	frame, err := e.call.next()
	if err != nil {
		return event, false, err
	}
	switch f := frame.Frame.(type) {
	case *wire.ForwardFrame_Event:
		return exchange.Event{Number: f.Event.Number, Raw: f.Event.Raw, Data: f.Event.Data}, f.Event.More, nil
	case *wire.ForwardFrame_End:
		e.ended = true
		e.call.finish(nil)
		return event, false, io.EOF
	case *wire.ForwardFrame_Broken:
		return event, false, toError(f.Broken.Error)
	}
	return event, false, &linkError{errors.Errorf("unexpected frame %T amid a stream", frame.Frame)}
}

// Close ends the call of a stream that was not read to its end; the peer then ends the attempt.
func (e *events) Close() {
	if !e.ended {
		e.ended = true
		e.call.abandon()
		e.call.ended()
	}
}
