// Package openai decodes and encodes the bodies of the OpenAI-compatible API:
// requests, errors, and the events of a stream.
//
// A request body is forwarded to the engine unchanged, so that fields unknown to
// this package still reach it. Only the fields that routing needs are decoded.
package openai

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
)

// Request holds the fields of a request body that routing needs. It is immutable.
type Request struct {
	model     string
	stream    bool
	text      []byte
	maxTokens int
	body      []byte
}

// Model returns the requested model's name.
func (r *Request) Model() string { return r.model }

// Stream reports whether the caller requested a stream of events.
func (r *Request) Stream() bool { return r.stream }

// Text returns the canonical prompt text, from whose blocks the cache keys are computed.
func (r *Request) Text() []byte { return r.text }

// MaxTokens returns the requested limit on output tokens, or 0 if the request sets none.
func (r *Request) MaxTokens() int { return r.maxTokens }

// Body returns the body as the caller sent it.
func (r *Request) Body() []byte { return r.body }

// FieldError is the error for an invalid field of a request body.
type FieldError struct {
	// Field is the path of the field, such as "messages[0].role".
	Field string
	// Reason describes the error.
	Reason string
}

// Error returns the field and the reason in one line.
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
	text, err := canonicalText(in.Messages)
	if err != nil {
		return nil, err
	}
	maxTokens := max(in.MaxTokens, in.MaxCompletionTokens)
	r := &Request{model: in.Model, stream: in.Stream, text: text, maxTokens: maxTokens, body: body}
	return r, r.validate()
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
	return r, r.validate()
}

func (r *Request) validate() error {
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

// canonicalText concatenates the messages. The text includes each content's length,
// so that a content that imitates a role line, such as
//
//	{"role":"user","content":"hi\nassistant\nyes"}
//
// cannot produce the same text as two messages.
func canonicalText(messages []message) ([]byte, error) {
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

// contentText returns the text of a string content, and the raw JSON of any other
// form, so that every byte of content parts and tool calls affects the cache keys.
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
