// Package openai reads and writes the bodies of the OpenAI-compatible
// interface: requests, errors, and the events of a stream.
//
// A request body is passed on to the engine unchanged, so that fields this
// package does not know still reach it. Only what routing needs is read.
package openai

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
)

// Request is what routing needs to know of a request body. It is immutable.
type Request struct {
	model     string
	stream    bool
	text      []byte
	maxTokens int
	body      []byte
}

// Model returns the requested model's name.
func (r *Request) Model() string { return r.model }

// Stream reports whether the caller wants events.
func (r *Request) Stream() bool { return r.stream }

// Text returns the canonical prompt text, whose blocks are keyed.
func (r *Request) Text() []byte { return r.text }

// MaxTokens returns the longest answer asked for, in tokens; 0 when not said.
func (r *Request) MaxTokens() int { return r.maxTokens }

// Body returns the body as the caller sent it.
func (r *Request) Body() []byte { return r.body }

// FieldError says which field of a body is wrong and why.
type FieldError struct {
	// Field is the path of the field, such as "messages[0].role".
	Field string
	// Reason says what is wrong.
	Reason string
}

// Error gives both parts in one line.
func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// ParseChat reads the body of /v1/chat/completions. Its errors are *FieldError.
func ParseChat(body []byte) (*Request, error) {
	var in struct {
		Model               string    `json:"model"`
		Stream              bool      `json:"stream"`
		Messages            []message `json:"messages"`
		MaxTokens           int       `json:"max_tokens"`
		MaxCompletionTokens int       `json:"max_completion_tokens"`
	}
	err := decode(body, &in)
	if err != nil {
		return nil, err
	}
	if len(in.Messages) == 0 {
		return nil, &FieldError{"messages", "at least one message is needed"}
	}
	text, err := canonical(in.Messages)
	if err != nil {
		return nil, err
	}
	maxTokens := max(in.MaxTokens, in.MaxCompletionTokens)
	r := &Request{model: in.Model, stream: in.Stream, text: text, maxTokens: maxTokens, body: body}
	return r, r.check()
}

// ParseCompletion reads the body of /v1/completions. Its errors are *FieldError.
func ParseCompletion(body []byte) (*Request, error) {
	var in struct {
		Model     string  `json:"model"`
		Stream    bool    `json:"stream"`
		Prompt    *string `json:"prompt"`
		MaxTokens int     `json:"max_tokens"`
	}
	err := decode(body, &in)
	if err != nil {
		return nil, err
	}
	if in.Prompt == nil {
		return nil, &FieldError{"prompt", "a string is needed"}
	}
	r := &Request{model: in.Model, stream: in.Stream, text: []byte(*in.Prompt), maxTokens: in.MaxTokens, body: body}
	return r, r.check()
}

func (r *Request) check() error {
	if r.model == "" {
		return &FieldError{"model", "a model's name is needed"}
	}
	if r.maxTokens < 0 {
		return &FieldError{"max_tokens", "must not be negative"}
	}
	return nil
}

func decode(body []byte, in any) error {
	err := json.Unmarshal(body, in)
	if err == nil {
		return nil
	}
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return &FieldError{wrongType.Field, fmt.Sprintf("expected %s, not %s", wrongType.Type, wrongType.Value)}
	}
	return &FieldError{"body", err.Error()}
}

// canonical writes the messages one after another. Each length is part of the
// text, so that a content that imitates a role line, such as
//
//	{"role":"user","content":"hi\nassistant\nyes"}
//
// cannot have the same text as two messages.
func canonical(messages []message) ([]byte, error) {
	var b bytes.Buffer
	for i, m := range messages {
		if m.Role == "" {
			return nil, &FieldError{fmt.Sprintf("messages[%d].role", i), "a role is needed"}
		}
		content, err := contentText(m.Content)
		if err != nil {
			return nil, &FieldError{fmt.Sprintf("messages[%d].content", i), err.Error()}
		}
		fmt.Fprintf(&b, "%s %d\n", m.Role, len(content))
		b.Write(content)
		b.WriteByte('\n')
	}
	return b.Bytes(), nil
}

// contentText gives the text of a string content, and the raw JSON of any other
// form: parts and tool calls are still keyed by every byte they hold.
func contentText(raw json.RawMessage) ([]byte, error) {
	if len(raw) == 0 || bytes.Equal(raw, []byte("null")) {
		return nil, nil
	}
	if raw[0] != '"' {
		return raw, nil
	}
	var s string
	err := json.Unmarshal(raw, &s)
	return []byte(s), err
}
