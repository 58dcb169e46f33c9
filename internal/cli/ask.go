package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/protocol/openai"
	"github.com/shedrock/shedrock/internal/transport/entry"
	"github.com/shedrock/shedrock/internal/transport/netdial"
)

// askDialTimeout bounds the setting up of a connection to an entry that may be far away.
const askDialTimeout = 5 * time.Second

type askCommand struct {
	Entry     string `help:"IP:PORT of an entry's callers' listener." default:"127.0.0.1:8080"`
	Key       string `help:"The team's key." default:"demo-key"`
	Model     string `help:"The model." default:"demo"`
	MaxTokens int    `help:"Longest answer in tokens." default:"32"`
	Prompt    string `arg:"" help:"The prompt."`
}

// Run streams the answer to one prompt.
func (c askCommand) Run(p *process) error {
	type message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	body := struct {
		Model     string    `json:"model"`
		Stream    bool      `json:"stream"`
		MaxTokens int       `json:"max_tokens"`
		Messages  []message `json:"messages"`
	}{c.Model, true, c.MaxTokens, []message{{"user", c.Prompt}}}
	req, err := sling.New().Post("http://"+c.Entry+"/v1/chat/completions").Set("Authorization", "Bearer "+c.Key).BodyJSON(body).Request()
	if err != nil {
		return failure{exitFailed, err}
	}
	res, err := netdial.Client(askDialTimeout, 0).Do(req.WithContext(p.ctx))
	if err != nil {
		return failure{exitFailed, err}
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(res.Body, 1<<16))
		return failure{exitFailed, errors.Errorf("%s (%s): %s", res.Status, res.Header.Get(entry.HeaderOutcome), text)}
	}
	return printStream(p, res.Body)
}

func printStream(p *process, body io.Reader) error {
	events := openai.NewEventReader(body)
	for {
		event, err := events.Next()
		if err != nil {
			return failure{exitFailed, errors.Wrap(err, "the answer broke off")}
		}
		if string(event.Data) == openai.Done {
			fmt.Fprintln(p.out)
			return nil
		}
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		err = json.Unmarshal(event.Data, &chunk)
		if err != nil || len(chunk.Choices) == 0 {
			return failure{exitFailed, errors.Errorf("the answer broke off: %s", event.Data)}
		}
		fmt.Fprint(p.out, chunk.Choices[0].Delta.Content)
	}
}
