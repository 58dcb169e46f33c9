package openai

import (
	"bytes"
	"encoding/json"
)

// Done is the data of the final event of a complete stream. A stream that ends
// without it is incomplete.
const Done = "[DONE]"

// ErrorBody encodes an error as OpenAI-compatible clients expect it. param names
// the invalid field and may be empty.
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

// RunIDMatcher finds a run's id in the JSON of a response or of an event without
// decoding it. Generated or prompt text cannot imitate the id field, because
// quotes inside a JSON string are escaped:
//
//	{"id":"run-1","choices":[{"delta":{"content":"\"id\":\"run-2\""}}]}
type RunIDMatcher []byte

// NewRunIDMatcher returns a matcher for a run's id.
func NewRunIDMatcher(run string) RunIDMatcher { return RunIDMatcher(`"id":"` + run + `"`) }

// Matches reports whether the JSON has the run's id.
func (m RunIDMatcher) Matches(data []byte) bool { return bytes.Contains(data, m) }
