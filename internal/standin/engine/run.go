package engine

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sync"
)

// run is one generation. Its events are retained for Options.KeepRuns after its
// end, so that a client can resume the stream.
type run struct {
	id, attempt, version string
	chat                 bool
	cached, prompt       int

	mu sync.Mutex
	// events holds the JSON of each event in order; it is append-only.
	events [][]byte
	// ended is true after the last event.
	ended     bool
	cancelled chan struct{}
	once      sync.Once
	// changed is closed and replaced whenever events or ended changes.
	changed chan struct{}
}

func newRun(id, attempt, version string) *run {
	return &run{id: id, attempt: attempt, version: version, cancelled: make(chan struct{}), changed: make(chan struct{})}
}

func (n *run) cancel() { n.once.Do(func() { close(n.cancelled) }) }

func (n *run) add(event []byte, last bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.events = append(n.events, event)
	n.ended = last
	close(n.changed)
	n.changed = make(chan struct{})
}

// eventsFrom returns the events from offset on, whether the run has ended with
// them, and a channel that is closed at the next change.
func (n *run) eventsFrom(offset int) ([][]byte, bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if offset > len(n.events) {
		offset = len(n.events)
	}
	return n.events[offset:], n.ended, n.changed
}

// word returns the i-th word of the response to a prompt. The first one is derived
// from the prompt, so that a test can tell which request a response belongs to.
func word(text []byte, i int) string {
	if i > 0 {
		return fmt.Sprintf(" w%d", i)
	}
	return FirstWord(text)
}

// FirstWord returns the first word of the response to a prompt, which contains
// part of the prompt's SHA-256 hash.
func FirstWord(text []byte) string {
	sum := sha256.Sum256(text)
	return "answer-" + hex.EncodeToString(sum[:4])
}

// chunk encodes one event of a stream; finish is empty except in the last one.
func chunk(n *run, model, content, finish string) []byte {
	type delta struct {
		Role    string `json:"role,omitempty"`
		Content string `json:"content"`
	}
	type choice struct {
		Index  int     `json:"index"`
		Delta  *delta  `json:"delta,omitempty"`
		Text   *string `json:"text,omitempty"`
		Finish *string `json:"finish_reason"`
	}
	c := choice{}
	object := "text_completion"
	if n.chat {
		object = "chat.completion.chunk"
		c.Delta = &delta{Role: "assistant", Content: content}
	} else {
		c.Text = &content
	}
	if finish != "" {
		c.Finish = &finish
	}
	return mustJSON(struct {
		ID      string   `json:"id"`
		Object  string   `json:"object"`
		Created int64    `json:"created"`
		Model   string   `json:"model"`
		Choices []choice `json:"choices"`
	}{n.id, object, 0, model, []choice{c}})
}

// completion encodes the response of a run that is not streamed.
func completion(n *run, model, content string, tokens int) []byte {
	type message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	type choice struct {
		Index   int      `json:"index"`
		Message *message `json:"message,omitempty"`
		Text    *string  `json:"text,omitempty"`
		Finish  string   `json:"finish_reason"`
	}
	type usage struct {
		Prompt     int `json:"prompt_tokens"`
		Completion int `json:"completion_tokens"`
		Total      int `json:"total_tokens"`
	}
	c := choice{Finish: "stop"}
	object := "text_completion"
	if n.chat {
		object = "chat.completion"
		c.Message = &message{"assistant", content}
	} else {
		c.Text = &content
	}
	return mustJSON(struct {
		ID      string   `json:"id"`
		Object  string   `json:"object"`
		Created int64    `json:"created"`
		Model   string   `json:"model"`
		Choices []choice `json:"choices"`
		Usage   usage    `json:"usage"`
	}{n.id, object, 0, model, []choice{c}, usage{n.prompt, tokens, n.prompt + tokens}})
}

func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic("standin: cannot encode JSON: " + err.Error())
	}
	return b
}
