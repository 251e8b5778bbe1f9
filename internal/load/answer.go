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

// maxAnswerBytes bounds the body of an answer that is not a stream.
const maxAnswerBytes = 16 << 20

// Outcomes of requests in addition to those that the system reports.
const (
	// outcomeCancelled marks a request that the load generator cancelled.
	outcomeCancelled = "cancelled"
	// outcomeDropped marks a request that was not sent because MaxInFlight others were in flight.
	outcomeDropped = "dropped"
	// outcomeBroken marks a request that failed, or ended, without an outcome from the system.
	outcomeBroken = "broken"
)

// answer collects the response to one request.
type answer struct {
	text         strings.Builder
	finishReason string
	ended        bool
	outcome      string
	firstTokenAt time.Time
	lastTokenAt  time.Time
	tokenGaps    []time.Duration
	tokens       int
}

type answerChunk struct {
	Choices []struct {
		Text    string `json:"text"`
		Delta   struct{ Content string }
		Message struct{ Content string }
		Finish  *string `json:"finish_reason"`
	} `json:"choices"`
}

// addEvent decodes one event of a stream or a whole answer and records its tokens.
func (a *answer) addEvent(data []byte, now time.Time) error {
	var p answerChunk
	if err := json.Unmarshal(data, &p); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	for _, c := range p.Choices {
		text := c.Text + c.Delta.Content + c.Message.Content
		a.text.WriteString(text)
		if c.Finish != nil {
			a.finishReason = *c.Finish
		}
		if text != "" {
			a.recordToken(now)
		}
	}
	return nil
}

func (a *answer) recordToken(now time.Time) {
	if a.tokens == 0 {
		a.firstTokenAt = now
	} else {
		a.tokenGaps = append(a.tokenGaps, now.Sub(a.lastTokenAt))
	}
	a.lastTokenAt = now
	a.tokens++
}

// readResponse reads a response to its end. It calls onFirstToken after the first token of a stream.
func (a *answer) readResponse(resp *http.Response, pr plannedRequest, onFirstToken func()) error {
	if resp.StatusCode != http.StatusOK {
		a.outcome = resp.Header.Get(openai.HeaderOutcome)
		_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswerBytes))
		return err
	}
	if !pr.stream {
		return a.readWhole(resp)
	}
	sc := openai.NewScanner(resp.Body)
	for {
		data, err := sc.Next()
		if errors.Is(err, openai.ErrDone) {
			a.ended = true
			break
		}
		if err != nil {
			a.outcome = resp.Trailer.Get(openai.HeaderOutcome)
			return err
		}
		if err := a.addEvent(data, time.Now()); err != nil {
			return err
		}
		if a.tokens == 1 {
			onFirstToken()
		}
	}
	// Trailers are available only after the body has been read to its end.
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
	a.ended = true
	return a.addEvent(data, time.Now())
}

// violation compares an answer with the one that the stand-in engine gives to the
// request. It names the guarantee to callers that the answer violates, or returns "".
func (a *answer) violation(pr plannedRequest) string {
	want := engsim.Answer(pr.model, pr.prompt, pr.tokens)
	got := a.text.String()
	switch {
	case !strings.HasPrefix(want, got):
		return "foreign"
	case a.outcome == string(fault.OutcomeComplete) && got != want:
		return "truncated"
	case a.outcome == string(fault.OutcomeComplete) && (a.finishReason == "" || !a.ended):
		return "unmarked"
	case a.outcome == string(fault.OutcomeNotRun) && got != "":
		return "ran although not_run"
	}
	return ""
}
