package load

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"chervilhead/internal/protocol/openai"
	"chervilhead/internal/standin/engsim"
	"chervilhead/internal/state/fault"
)

// maxAnswerBytes bounds one answer that is not a stream.
const maxAnswerBytes = 16 << 20

// The outcomes that the tool adds to those of the header.
const (
	// outcomeCancelled marks a request that the tool itself cut.
	outcomeCancelled = "cancelled"
	// outcomeDropped marks an arrival beyond the bound on requests in flight.
	outcomeDropped = "dropped"
	// outcomeBroken marks a request whose connection failed or that carried no outcome.
	outcomeBroken = "broken"
)

// answer is what came back for one request.
type answer struct {
	text    strings.Builder
	finish  string
	done    bool
	outcome string
	first   time.Time
	last    time.Time
	gaps    []time.Duration
	tokens  int
}

type piece struct {
	Choices []struct {
		Text    string `json:"text"`
		Delta   struct{ Content string }
		Message struct{ Content string }
		Finish  *string `json:"finish_reason"`
	} `json:"choices"`
}

// add takes one event or one whole answer.
func (a *answer) add(data []byte, now time.Time) error {
	var p piece
	if err := json.Unmarshal(data, &p); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	for _, c := range p.Choices {
		text := c.Text + c.Delta.Content + c.Message.Content
		a.text.WriteString(text)
		if c.Finish != nil {
			a.finish = *c.Finish
		}
		if text != "" {
			a.mark(now)
		}
	}
	return nil
}

func (a *answer) mark(now time.Time) {
	if a.tokens == 0 {
		a.first = now
	} else {
		a.gaps = append(a.gaps, now.Sub(a.last))
	}
	a.last = now
	a.tokens++
}

// read takes the whole of a response. atFirst is called at the first token.
func (a *answer) read(resp *http.Response, s shot, atFirst func()) error {
	if resp.StatusCode != http.StatusOK {
		a.outcome = resp.Header.Get(openai.HeaderOutcome)
		_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswerBytes))
		return err
	}
	if !s.stream {
		return a.readWhole(resp)
	}
	sc := openai.NewScanner(resp.Body)
	for {
		data, err := sc.Next()
		if errors.Is(err, openai.ErrDone) {
			a.done = true
			break
		}
		if err != nil {
			a.outcome = resp.Trailer.Get(openai.HeaderOutcome)
			return err
		}
		if err := a.add(data, time.Now()); err != nil {
			return err
		}
		if a.tokens == 1 {
			atFirst()
		}
	}
	// The trailer is known only after the end of the body.
	_, err := io.Copy(io.Discard, resp.Body)
	a.outcome = resp.Trailer.Get(openai.HeaderOutcome)
	return err
}

func (a *answer) readWhole(resp *http.Response) error {
	a.outcome = resp.Header.Get(openai.HeaderOutcome)
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return err
	}
	a.done = true
	return a.add(data, time.Now())
}

// verdict compares an answer with the one that the engine gives to the request.
// It returns why the answer violates what callers are promised, or "".
func (a *answer) verdict(s shot) string {
	want := engsim.Answer(s.model, s.prompt, s.tokens)
	got := a.text.String()
	switch {
	case !strings.HasPrefix(want, got):
		return "foreign"
	case a.outcome == string(fault.OutcomeComplete) && got != want:
		return "truncated"
	case a.outcome == string(fault.OutcomeComplete) && (a.finish == "" || !a.done):
		return "unmarked"
	case a.outcome == string(fault.OutcomeNotRun) && got != "":
		return "ran although not_run"
	}
	return ""
}
