package load

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"chervilhead/internal/protocol/openai"
)

// plannedRequest is one request of a run.
type plannedRequest struct {
	// offset is the intended send time, counted from the start of the run.
	offset    time.Duration
	target    string
	path      string
	bearerKey string
	// idempotencyKey is the same for a resend and the request that it repeats.
	idempotencyKey string
	model          string
	prompt         string
	body           []byte
	tokens         int
	stream         bool
	cancel         bool
	resend         bool
}

// maxRecentRequests bounds the earlier requests from which a resend is drawn.
const maxRecentRequests = 64

// generator yields the requests of a run; equal settings yield equal requests.
type generator struct {
	cfg    Settings
	rand   *rand.Rand
	n      int
	at     time.Duration
	recent []plannedRequest
}

func newGenerator(cfg Settings) *generator {
	return &generator{cfg: cfg, rand: rand.New(rand.NewPCG(cfg.Seed, 0))}
}

// next returns the next request, or false once the run's Count or Duration is reached.
func (p *generator) next() (plannedRequest, bool) {
	if p.n >= p.cfg.Count {
		return plannedRequest{}, false
	}
	gap := 1 / p.cfg.Rate
	if p.cfg.Arrival == ArrivalPoisson {
		gap *= p.rand.ExpFloat64()
	}
	p.at += time.Duration(gap * float64(time.Second))
	if p.at >= p.cfg.Duration {
		return plannedRequest{}, false
	}
	s := p.draw()
	s.offset = p.at
	s.target = p.cfg.Targets[p.n%len(p.cfg.Targets)]
	s.cancel = p.rand.Float64() < p.cfg.CancelShare
	p.n++
	return s, true
}

func (p *generator) draw() plannedRequest {
	if len(p.recent) > 0 && p.rand.Float64() < p.cfg.ResendShare {
		s := p.recent[p.rand.IntN(len(p.recent))]
		s.resend = true
		return s
	}
	s := p.newRequest()
	if len(p.recent) < maxRecentRequests {
		p.recent = append(p.recent, s)
	} else {
		p.recent[p.n%maxRecentRequests] = s
	}
	return s
}

func (p *generator) newRequest() plannedRequest {
	s := plannedRequest{
		path: openai.PathCompletions, model: p.cfg.Models[p.rand.IntN(len(p.cfg.Models))], tokens: p.cfg.Tokens,
		stream:         p.rand.Float64() < p.cfg.StreamShare,
		idempotencyKey: fmt.Sprintf("load-%d-%d", p.cfg.Seed, p.n),
	}
	if len(p.cfg.Keys) > 0 {
		s.bearerKey = p.cfg.Keys[p.rand.IntN(len(p.cfg.Keys))]
	}
	words := p.cfg.MinPromptWords + p.rand.IntN(p.cfg.MaxPromptWords-p.cfg.MinPromptWords+1)
	s.prompt = s.idempotencyKey + strings.Repeat(" word", words-1)
	if p.rand.Float64() < p.cfg.ChatShare {
		s.path = openai.PathChat
	}
	s.body = encodeBody(s)
	return s
}

type requestBody struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt,omitempty"`
	Messages  []message `json:"messages,omitempty"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func encodeBody(s plannedRequest) []byte {
	b := requestBody{Model: s.model, Stream: s.stream, MaxTokens: s.tokens}
	if s.path == openai.PathChat {
		b.Messages = []message{{Role: "user", Content: s.prompt}}
	} else {
		b.Prompt = s.prompt
	}
	data, _ := json.Marshal(b) // strings and numbers always encode
	return data
}
