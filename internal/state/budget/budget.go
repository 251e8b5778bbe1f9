package budget

import "time"

// Limit is the bound over all gateways: repeats in a window stay below
// Ratio x requests + Slack.
type Limit struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

const (
	// slots is the resolution of the window.
	slots = 20
	// margin keeps a gateway below its part, because windows slide and requests are
	// counted here only after they have been read.
	margin = 0.7
)

// Retries counts one service's requests and repeats at one gateway. It is not safe for
// concurrent use.
type Retries struct {
	limit Limit
	fresh [slots + 1]int
	again [slots + 1]int
	at    int64
}

// New returns a budget without history.
func New(limit Limit) *Retries { return &Retries{limit: limit} }

func (b *Retries) advance(now time.Duration) int {
	width := int64(b.limit.Window) / slots
	cur := int64(now) / width
	for i := 0; b.at < cur && i <= slots; i++ {
		b.at++
		b.fresh[b.at%(slots+1)], b.again[b.at%(slots+1)] = 0, 0
		if i == slots {
			b.at = cur
		}
	}
	return int(b.at % (slots + 1))
}

// AddRequest counts a request.
func (b *Retries) AddRequest(now time.Duration) { b.fresh[b.advance(now)]++ }

// Take counts a repeat if one is left, where gateways share the slack.
func (b *Retries) Take(now time.Duration, gateways int) bool {
	i := b.advance(now)
	fresh, again := 0, 0
	for k := range b.fresh {
		fresh += b.fresh[k]
		again += b.again[k]
	}
	most := margin * (b.limit.Ratio*float64(fresh) + b.limit.Slack/float64(max(1, gateways)))
	if float64(again+1) > most {
		return false
	}
	b.again[i]++
	return true
}
