package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// streamEvents is how many events a stream has, and eventPause the pause between them.
	streamEvents = 12
	eventPause   = 150 * time.Millisecond
	// lineBytes is the length of the data line of an event without its line end: several tokens in one event.
	lineBytes = 2048
	dataField = "data: "
)

// piece returns the data of one event of a request: the same at every replica.
func piece(request string, number int) string {
	head := fmt.Sprintf("[%s piece %d] ", request, number)
	return head + strings.Repeat("x", lineBytes-len(dataField)-len(head))
}

// streamReplica stands in for a replica that answers with streams.
type streamReplica struct {
	*replica
	listener net.Listener

	mu sync.Mutex
	// crashing is closed when the replica crashes.
	crashing chan struct{}
	conns    map[net.Conn]bool
}

// startStreamReplica starts a replica of streams at a host number.
func (c *cluster) startStreamReplica(service string, n, host int) (*streamReplica, error) {
	base := &replica{cluster: c, id: fmt.Sprintf("i-%s-%d", service, n), service: service, zone: c.zones[n%len(c.zones)], slots: 16, node: n % len(c.cores), stopped: make(chan struct{})}
	l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", c.subnet, host))
	if err != nil {
		return nil, err
	}
	base.address = l.Addr().String()
	r := &streamReplica{replica: base, listener: l, crashing: make(chan struct{}), conns: map[net.Conn]bool{}}
	go r.accept()
	go base.beat()
	c.record.note("replica %s of %s at %s in %s", r.id, service, r.address, r.zone)
	return r, nil
}

func (r *streamReplica) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[conn] = true
		r.mu.Unlock()
		go func() {
			defer func() { _ = conn.Close() }()
			reader := bufio.NewReader(conn)
			for r.one(conn, reader) == nil {
			}
		}()
	}
}

// errClosed ends a connection.
var errClosed = errors.New("closed")

// one serves one request of a connection.
func (r *streamReplica) one(conn net.Conn, reader *bufio.Reader) error {
	req, err := http.ReadRequest(reader)
	if err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, req.Body)
	id := req.Header.Get(wire["request"])
	if req.URL.Path == wire["report"] || req.URL.Path == "/healthz" {
		_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}", r.id)
		return err
	}
	if expected := req.Header.Get(wire["instance"]); expected != "" && expected != r.id {
		_, err = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", r.id, id)
		return err
	}
	after, _ := strconv.Atoi(req.Header.Get(wire["last_event"]))
	r.cluster.record.note("run %s at %s after event %d", id, r.id, after)
	// Half of the streams have neither a length nor chunks, and end with their connection.
	n, _ := strconv.Atoi(strings.TrimLeft(id, "r0"))
	chunked := n%2 == 0
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: stamp-%s-%s\r\nContent-Type: text/event-stream\r\n", id, id, r.id)
	if chunked {
		head += "Transfer-Encoding: chunked\r\n\r\n"
	} else {
		head += "Connection: close\r\n\r\n"
	}
	_, err = io.WriteString(conn, head)
	if err != nil {
		return err
	}
	write := func(text string) error {
		if chunked {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		_, err := io.WriteString(conn, text)
		return err
	}
	for number := after + 1; number <= streamEvents; number++ {
		lines := fmt.Sprintf("id: %d\n%s%s\n", number, dataField, piece(id, number))
		select {
		case <-time.After(eventPause):
		case <-r.crashing:
			// The replica crashes partway through an event: the empty line that ends it is missing.
			_ = write(lines)
			r.cluster.record.note("%s crashes in event %d of %s (chunked %v)", r.id, number, id, chunked)
			return errClosed
		}
		err = write(lines + "\n")
		if err != nil {
			return err
		}
	}
	if !chunked {
		return errClosed
	}
	_, err = io.WriteString(conn, "0\r\n\r\n")
	return err
}

// crash ends the replica: it takes no connections any more, and says nothing.
func (r *streamReplica) crash() {
	close(r.stopped)
	_ = r.listener.Close()
	close(r.crashing)
}

// end ends the replica at the end of the case.
func (r *streamReplica) end() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		_ = conn.Close()
	}
}

// streamResult is what a client got of one stream.
type streamResult struct {
	id, front string
	status    int
	// whole is true if the answer ended as complete.
	whole bool
	// fault is what is wrong with the pieces of an answer, or empty.
	fault  string
	pieces int
}

// readStream sends one request for a stream and checks what comes: each event is ended by an empty line, and has the
// number and the data of the next piece.
func readStream(c *cluster, m *machine, n int) streamResult {
	out := streamResult{id: fmt.Sprintf("r%06d", n), front: m.name}
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/two/x", m.ip, c.front), strings.NewReader("question"))
	if err != nil {
		return out
	}
	req.Host = "shop.example"
	req.Header.Set(wire["request"], out.id)
	req.Header.Set(wire["deadline"], "6000")
	req.Header.Set(wire["key"], "key-of-one")
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	c.record.note("send %s to %s", out.id, m.name)
	res, err := client.Do(req)
	if err != nil {
		c.record.note("answer %s: %v", out.id, err)
		return out
	}
	defer func() { _ = res.Body.Close() }()
	out.status = res.StatusCode
	text, err := io.ReadAll(res.Body)
	out.whole = err == nil
	c.record.note("answer %s: %d, whole %v, %d bytes", out.id, out.status, out.whole, len(text))
	if out.status != http.StatusOK {
		return out
	}
	out.pieces, out.fault = checkPieces(out.id, string(text), out.whole)
	if out.fault != "" {
		c.record.note("stream %s: %s", out.id, out.fault)
	}
	return out
}

// checkPieces checks the events of a stream.
func checkPieces(id, text string, whole bool) (pieces int, fault string) {
	events := strings.Split(text, "\n\n")
	rest := events[len(events)-1]
	for _, event := range events[:len(events)-1] {
		number, data := 0, []string{}
		for line := range strings.SplitSeq(event, "\n") {
			if value, ok := strings.CutPrefix(line, "id: "); ok {
				number, _ = strconv.Atoi(value)
			}
			if value, ok := strings.CutPrefix(line, dataField); ok {
				data = append(data, value)
			}
		}
		pieces++
		if number != pieces || len(data) != 1 || data[0] != piece(id, number) {
			var names []string
			for _, d := range data {
				name, _, _ := strings.Cut(d, "]")
				names = append(names, name+"]")
			}
			return pieces, fmt.Sprintf("event %d has the number %d and the data of %v", pieces, number, names)
		}
	}
	if whole && (rest != "" || pieces != streamEvents) {
		return pieces, fmt.Sprintf("it ends as complete after %d of %d events and %d bytes of another", pieces, streamEvents, len(rest))
	}
	return pieces, ""
}

// cutEvents has a replica crash while it writes streams, partway through an event. ORDER: no stream may miss a piece or
// join two, or end as complete before its last one.
func cutEvents(r *record, trouble bool) (verdict, error) {
	c, err := newCluster(r, 3, 3)
	if err != nil {
		return verdict{}, err
	}
	defer c.stop()
	err = c.startAll()
	if err != nil {
		return verdict{}, err
	}
	config := serviceConfig(1, "safe")
	config["routes"] = append(config["routes"].([]any), map[string]any{
		"name": "r-two", "host": "shop.example", wire["prefix"]: "/two/", "type": "stream", "timeout_ms": 6000, "target_latency_ms": 400,
		"priority": 0, "service": "talk", "max_attempts": 2, "public": false, "sticky": true, "resumable": true, "gap_aim_ms": 300,
	})
	config["services"] = append(config["services"].([]any), map[string]any{"name": "talk", "health_path": "/healthz", "max_connections": 180, "protocol": "h1", "tls": false})
	err = c.put(config, 20*time.Second)
	if err != nil {
		return verdict{}, err
	}
	var replicas []*streamReplica
	for i := range 7 {
		in, err := c.startStreamReplica("talk", i, 100+i)
		if err != nil {
			return verdict{}, err
		}
		defer in.end()
		replicas = append(replicas, in)
	}
	err = c.awaitReady(20 * time.Second)
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(5 * time.Second)

	results := make(chan streamResult, 1000)
	var group sync.WaitGroup
	n := 0
	for began := time.Now(); time.Since(began) < 10*time.Second; time.Sleep(40 * time.Millisecond) {
		n++
		at := n
		group.Go(func() { results <- readStream(c, c.fronts[at%len(c.fronts)], at) })
		if trouble && time.Since(began) > 5*time.Second {
			trouble = false
			r.note("%s crashes", replicas[0].id)
			replicas[0].crash()
		}
	}
	group.Wait()
	close(results)
	all, whole, faulty := 0, 0, 0
	sample := ""
	for s := range results {
		all++
		if s.whole && s.status == http.StatusOK {
			whole++
		}
		if s.fault != "" {
			faulty++
			sample = fmt.Sprintf("; such as %s at %s: %s", s.id, s.front, s.fault)
		}
	}
	if whole < all/2 {
		return verdict{}, fmt.Errorf("only %d of %d streams were served", whole, all)
	}
	return verdict{broken: faulty > 0, text: fmt.Sprintf("ORDER: of %d streams, %d ended as complete, and %d had pieces that are wrong%s", all, whole, faulty, sample)}, nil
}
