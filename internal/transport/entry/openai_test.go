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

// TestOpenAIClient sends requests to an entry through the official OpenAI client, with
// the client's own retries enabled.
func TestOpenAIClient(t *testing.T) {
	s := newDeployment(t, engineOptions())
	s.declare()
	e := s.start()
	client := openai.NewClient(option.WithBaseURL(e.url+"/v1"), option.WithAPIKey(demoKey), option.WithMaxRetries(2))
	params := func(model, content string) openai.ChatCompletionNewParams {
		return openai.ChatCompletionNewParams{
			Model:     model,
			MaxTokens: openai.Int(3),
			Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(content)},
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	want := firstWord(t, chat("hello", false, 3))

	t.Run("not streamed", func(t *testing.T) {
		got, err := client.Chat.Completions.New(ctx, params("demo", "hello"))
		if err != nil || got.Choices[0].Message.Content != want+" w1 w2" || got.Usage.CompletionTokens != 3 {
			t.Fatalf("%+v %v", got, err)
		}
	})
	t.Run("streamed", func(t *testing.T) {
		stream := client.Chat.Completions.NewStreaming(ctx, params("demo", "hello"))
		text := ""
		for stream.Next() {
			text += stream.Current().Choices[0].Delta.Content
		}
		if stream.Err() != nil || text != want+" w1 w2" {
			t.Fatalf("%q %v", text, stream.Err())
		}
	})
	t.Run("error body", func(t *testing.T) {
		_, err := client.Chat.Completions.New(ctx, params("nothing", "hello"))
		var got *openai.Error
		if !errors.As(err, &got) || got.StatusCode != http.StatusNotFound || got.Code != "model_not_found" || got.Param != "model" {
			t.Fatalf("%#v", err)
		}
	})
	t.Run("refused and retried after Retry-After", func(t *testing.T) {
		before := e.outcomeCount(t, "not run")
		s.engines[0].Faults.Set(fault.Settings{Refuse: true})
		context.AfterFunc(waitFor(t, func() bool { return e.outcomeCount(t, "not run") > before }), func() {
			s.engines[0].Faults.Set(fault.Settings{})
		})
		startTime := time.Now()
		got, err := client.Chat.Completions.New(ctx, params("demo", "hello"))
		if err != nil || got.Choices[0].Message.Content != want+" w1 w2" {
			t.Fatalf("%+v %v", got, err)
		}
		if waited := time.Since(startTime); waited < time.Second {
			t.Fatalf("the client did not honor Retry-After: it retried after %v", waited)
		}
	})
	t.Run("refused without retries", func(t *testing.T) {
		s.engines[0].Faults.Set(fault.Settings{Refuse: true})
		defer s.engines[0].Faults.Set(fault.Settings{})
		_, err := client.Chat.Completions.New(ctx, params("demo", "hello"), option.WithMaxRetries(0))
		var got *openai.Error
		if !errors.As(err, &got) || got.StatusCode != http.StatusServiceUnavailable || got.Response.Header.Get(entry.HeaderOutcome) != "not run" {
			t.Fatalf("%#v", err)
		}
	})
	t.Run("cancelled", func(t *testing.T) {
		s.engines[0].Faults.Set(fault.Settings{Slow: testTimeout})
		defer s.engines[0].Faults.Set(fault.Settings{})
		short, stop := context.WithCancel(ctx)
		context.AfterFunc(waitFor(t, func() bool { return s.engines[0].Running() == 1 }), stop)
		_, err := client.Chat.Completions.New(short, params("demo", "hello"))
		if !errors.Is(err, context.Canceled) {
			t.Fatal(err)
		}
		eventually(t, "the run ended", func() bool { return s.engines[0].Running() == 0 })
	})
}

// waitFor returns a context that is cancelled when a condition becomes true.
func waitFor(t *testing.T, ok func() bool) context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer cancel()
		eventually(t, "the condition", ok)
	}()
	return ctx
}

// outcomeCount sums the values of the metrics with one outcome label.
func (r *runningEntry) outcomeCount(t *testing.T, label string) int {
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
