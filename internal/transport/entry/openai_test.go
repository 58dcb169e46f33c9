package entry_test

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"

	"github.com/shedrock/shedrock/internal/standin/fault"
	"github.com/shedrock/shedrock/internal/transport/entry"
)

// TestWellKnownClient talks to an entry through a client that was not written
// here, with its own retries on.
func TestWellKnownClient(t *testing.T) {
	s := newSite(t, engineOptions())
	s.declare()
	e := s.start()
	client := openai.NewClient(option.WithBaseURL(e.url+"/v1"), option.WithAPIKey(demoKey), option.WithMaxRetries(2))
	ask := func(model, content string) openai.ChatCompletionNewParams {
		return openai.ChatCompletionNewParams{
			Model:     model,
			MaxTokens: openai.Int(3),
			Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(content)},
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	want := mark(t, chat("hello", false, 3))

	t.Run("whole", func(t *testing.T) {
		got, err := client.Chat.Completions.New(ctx, ask("demo", "hello"))
		if err != nil || got.Choices[0].Message.Content != want+" w1 w2" || got.Usage.CompletionTokens != 3 {
			t.Fatalf("%+v %v", got, err)
		}
	})
	t.Run("streamed", func(t *testing.T) {
		stream := client.Chat.Completions.NewStreaming(ctx, ask("demo", "hello"))
		text := ""
		for stream.Next() {
			text += stream.Current().Choices[0].Delta.Content
		}
		if stream.Err() != nil || text != want+" w1 w2" {
			t.Fatalf("%q %v", text, stream.Err())
		}
	})
	t.Run("error body", func(t *testing.T) {
		_, err := client.Chat.Completions.New(ctx, ask("nothing", "hello"))
		var got *openai.Error
		if !errors.As(err, &got) || got.StatusCode != http.StatusNotFound || got.Code != "model_not_found" || got.Param != "model" {
			t.Fatalf("%#v", err)
		}
	})
	t.Run("refused, and asked again after Retry-After", func(t *testing.T) {
		before := e.outcomes(t, "not run")
		s.engines[0].Faults.Set(fault.Settings{Refuse: true})
		context.AfterFunc(waitFor(t, func() bool { return e.outcomes(t, "not run") > before }), func() {
			s.engines[0].Faults.Set(fault.Settings{})
		})
		began := time.Now()
		got, err := client.Chat.Completions.New(ctx, ask("demo", "hello"))
		if err != nil || got.Choices[0].Message.Content != want+" w1 w2" {
			t.Fatalf("%+v %v", got, err)
		}
		if waited := time.Since(began); waited < time.Second {
			t.Fatalf("the client did not understand Retry-After: it came back after %v", waited)
		}
	})
	t.Run("refused for good", func(t *testing.T) {
		s.engines[0].Faults.Set(fault.Settings{Refuse: true})
		defer s.engines[0].Faults.Set(fault.Settings{})
		_, err := client.Chat.Completions.New(ctx, ask("demo", "hello"), option.WithMaxRetries(0))
		var got *openai.Error
		if !errors.As(err, &got) || got.StatusCode != http.StatusServiceUnavailable || got.Response.Header.Get(entry.HeaderOutcome) != "not run" {
			t.Fatalf("%#v", err)
		}
	})
	t.Run("cancelled", func(t *testing.T) {
		s.engines[0].Faults.Set(fault.Settings{Slow: patience})
		defer s.engines[0].Faults.Set(fault.Settings{})
		short, stop := context.WithCancel(ctx)
		context.AfterFunc(waitFor(t, func() bool { return s.engines[0].Running() == 1 }), stop)
		_, err := client.Chat.Completions.New(short, ask("demo", "hello"))
		if !errors.Is(err, context.Canceled) {
			t.Fatal(err)
		}
		eventually(t, "the run ended", func() bool { return s.engines[0].Running() == 0 })
	})
}

// waitFor returns a context that ends when a condition comes true.
func waitFor(t *testing.T, ok func() bool) context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer cancel()
		eventually(t, "the condition", ok)
	}()
	return ctx
}

// outcomes counts the lines of one outcome in the metrics by their values.
func (r *running) outcomes(t *testing.T, label string) int {
	n := 0
	for _, line := range strings.Split(r.get(t, "/metrics"), "\n") {
		if strings.HasPrefix(line, "shedrock_outcomes_total") && strings.Contains(line, `outcome="`+label+`"`) {
			_, value, _ := strings.Cut(line, "} ")
			for _, digit := range value {
				n = n*10 + int(digit-'0')
			}
		}
	}
	return n
}
