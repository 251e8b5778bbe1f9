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
	cfg       Settings
	rand      *rand.Rand
	generated int
	offset    time.Duration
	recent    []plannedRequest
}

func newGenerator(cfg Settings) *generator {
	return &generator{cfg: cfg, rand: rand.New(rand.NewPCG(cfg.Seed, 0))}
}

// next returns the next request, or false once the run's Count or Duration is reached.
func (g *generator) next() (plannedRequest, bool) {
	if g.generated >= g.cfg.Count {
		return plannedRequest{}, false
	}
	gap := 1 / g.cfg.Rate
	if g.cfg.Arrival == ArrivalPoisson {
		gap *= g.rand.ExpFloat64()
	}
	g.offset += time.Duration(gap * float64(time.Second))
	if g.offset >= g.cfg.Duration {
		return plannedRequest{}, false
	}
	pr := g.draw()
	pr.offset = g.offset
	pr.target = g.cfg.Targets[g.generated%len(g.cfg.Targets)]
	pr.cancel = g.rand.Float64() < g.cfg.CancelShare
	g.generated++
	return pr, true
}

func (g *generator) draw() plannedRequest {
	if len(g.recent) > 0 && g.rand.Float64() < g.cfg.ResendShare {
		pr := g.recent[g.rand.IntN(len(g.recent))]
		pr.resend = true
		return pr
	}
	pr := g.newRequest()
	if len(g.recent) < maxRecentRequests {
		g.recent = append(g.recent, pr)
	} else {
		g.recent[g.generated%maxRecentRequests] = pr
	}
	return pr
}

func (g *generator) newRequest() plannedRequest {
	pr := plannedRequest{
		path: openai.PathCompletions, model: g.cfg.Models[g.rand.IntN(len(g.cfg.Models))], tokens: g.cfg.Tokens,
		stream:         g.rand.Float64() < g.cfg.StreamShare,
		idempotencyKey: fmt.Sprintf("load-%d-%d", g.cfg.Seed, g.generated),
	}
	if len(g.cfg.Keys) > 0 {
		pr.bearerKey = g.cfg.Keys[g.rand.IntN(len(g.cfg.Keys))]
	}
	words := g.cfg.MinPromptWords + g.rand.IntN(g.cfg.MaxPromptWords-g.cfg.MinPromptWords+1)
	pr.prompt = pr.idempotencyKey + strings.Repeat(" word", words-1)
	if g.rand.Float64() < g.cfg.ChatShare {
		pr.path = openai.PathChat
	}
	pr.body = encodeBody(pr)
	return pr
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

func encodeBody(pr plannedRequest) []byte {
	b := requestBody{Model: pr.model, Stream: pr.stream, MaxTokens: pr.tokens}
	if pr.path == openai.PathChat {
		b.Messages = []message{{Role: "user", Content: pr.prompt}}
	} else {
		b.Prompt = pr.prompt
	}
	data, _ := json.Marshal(b) // strings and numbers always encode
	return data
}
