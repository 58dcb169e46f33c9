package openai

import (
	"bytes"
	"encoding/json"
)

// Done is the data of the event that ends a whole stream. A stream that closes
// without it is not a whole answer.
const Done = "[DONE]"

// ErrorBody encodes an error as OpenAI-compatible clients expect it. param may
// be empty; it names the faulty field.
func ErrorBody(kind, code, message, param string) []byte {
	type detail struct {
		Message string  `json:"message"`
		Type    string  `json:"type"`
		Code    string  `json:"code"`
		Param   *string `json:"param"`
	}
	d := detail{Message: message, Type: kind, Code: code}
	if param != "" {
		d.Param = &param
	}
	b, err := json.Marshal(struct {
		Error detail `json:"error"`
	}{d})
	if err != nil {
		panic("openai: an error body of strings failed to encode: " + err.Error())
	}
	return b
}

// RunIDMatcher finds a run's id inside the JSON of an answer or of an event without
// decoding it. A caller's text cannot forge the mark, because the quotes inside
// a JSON string are escaped:
//
//	{"id":"run-1","choices":[{"delta":{"content":"\"id\":\"run-2\""}}]}
type RunIDMatcher []byte

// NewRunIDMatcher returns the mark of a run.
func NewRunIDMatcher(run string) RunIDMatcher { return RunIDMatcher(`"id":"` + run + `"`) }

// Matches reports whether the JSON belongs to the run.
func (m RunIDMatcher) Matches(data []byte) bool { return bytes.Contains(data, m) }
