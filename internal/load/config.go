package load

import (
	"fmt"
	"net"
	"net/url"
	"time"

	"chervilhead/internal/config"
)

// Arrival processes of Settings.Arrival.
const (
	ArrivalPoisson  = "poisson"
	ArrivalConstant = "constant"
)

// Upper bounds of the settings of one run.
const (
	maxDuration          = time.Hour
	maxCount             = 10_000_000
	maxRequestsPerSecond = 100_000
	maxPromptWords       = 100_000
)

// Settings configures one run.
type Settings struct {
	// Targets are the base URLs that requests are sent to, in rotation.
	Targets []string `yaml:"targets"`
	// Keys are the bearer keys of groups, drawn uniformly.
	Keys []string `yaml:"keys"`
	// Models are the names of models, drawn uniformly.
	Models []string `yaml:"models"`
	// Arrival is ArrivalPoisson or ArrivalConstant.
	Arrival string `yaml:"arrival"`
	// Rate is the mean arrival rate in requests per second.
	Rate float64 `yaml:"rate"`
	// Duration and Count, the number of requests, bound the run; the first one reached ends it.
	Duration time.Duration `yaml:"duration"`
	Count    int           `yaml:"count"`
	// MinPromptWords and MaxPromptWords bound the length of a prompt, drawn uniformly.
	MinPromptWords int `yaml:"min_prompt_words"`
	MaxPromptWords int `yaml:"max_prompt_words"`
	// Tokens is the number of tokens in every answer.
	Tokens int `yaml:"tokens"`
	// StreamShare and the other shares are fractions of the requests, from 0 to 1.
	StreamShare float64 `yaml:"stream_share"`
	ChatShare   float64 `yaml:"chat_share"`
	// ResendShare is the share of requests that repeat the body and idempotency key of an earlier one.
	ResendShare float64 `yaml:"resend_share"`
	// CancelShare is the share of requests that are cancelled: a stream after its first
	// token, any other request after CancelAfter.
	CancelShare float64       `yaml:"cancel_share"`
	CancelAfter time.Duration `yaml:"cancel_after"`
	// MaxInFlight bounds the requests in flight; a request beyond it is counted as dropped, not sent.
	MaxInFlight int `yaml:"max_in_flight"`
	// Timeout bounds one request.
	Timeout time.Duration `yaml:"timeout"`
	Seed    uint64        `yaml:"seed"`
	// AllowRemote permits targets that are not loopback addresses.
	AllowRemote bool `yaml:"allow_remote"`
	// Direct says that the targets are engines, which send no outcome.
	Direct bool `yaml:"direct"`
}

// DefaultSettings returns the settings that apply where neither a flag nor a file sets a value.
func DefaultSettings() Settings {
	return Settings{
		Targets: []string{"http://127.0.0.1:8080"}, Keys: []string{"demo-registry", "demo-recall"}, Models: []string{"corral-00"},
		Arrival: ArrivalPoisson, Rate: 10, Duration: 10 * time.Second, Count: maxCount,
		MinPromptWords: 4, MaxPromptWords: 64, Tokens: 24, StreamShare: 0.8, ChatShare: 0.5, CancelAfter: 20 * time.Millisecond,
		MaxInFlight: 4096, Timeout: time.Minute, Seed: 1,
	}
}

// Check validates the settings. Its error is a *config.Error that names the setting and a remedy.
func (s Settings) Check() error {
	for _, c := range []struct {
		invalid bool
		name    string
		value   any
		remedy  string
	}{
		{len(s.Targets) == 0, "targets", s.Targets, "name at least one base URL"},
		{len(s.Models) == 0, "models", s.Models, "name at least one model"},
		{len(s.Keys) == 0 && !s.Direct, "keys", s.Keys, "name at least one bearer key"},
		{s.Arrival != ArrivalPoisson && s.Arrival != ArrivalConstant, "arrival", s.Arrival, "use poisson or constant"},
		{!(s.Rate > 0) || s.Rate > maxRequestsPerSecond, "rate", s.Rate, fmt.Sprintf("use a rate above 0 and up to %d", maxRequestsPerSecond)},
		{s.Duration <= 0 || s.Duration > maxDuration, "duration", s.Duration, fmt.Sprintf("use a duration up to %s", maxDuration)},
		{s.Count <= 0 || s.Count > maxCount, "count", s.Count, fmt.Sprintf("use a count from 1 to %d", maxCount)},
		{s.MinPromptWords < 1, "min_prompt_words", s.MinPromptWords, "use 1 or more"},
		{
			s.MaxPromptWords < s.MinPromptWords || s.MaxPromptWords > maxPromptWords, "max_prompt_words", s.MaxPromptWords,
			fmt.Sprintf("use a number from min_prompt_words to %d", maxPromptWords),
		},
		{s.Tokens < 1, "tokens", s.Tokens, "use 1 or more"},
		{s.MaxInFlight < 1, "max_in_flight", s.MaxInFlight, "use 1 or more"},
		{s.Timeout <= 0, "timeout", s.Timeout, "use a positive duration"},
		{s.CancelAfter < 0, "cancel_after", s.CancelAfter, "use 0 or a positive duration"},
		{notFraction(s.StreamShare), "stream_share", s.StreamShare, "use a fraction from 0 to 1"},
		{notFraction(s.ChatShare), "chat_share", s.ChatShare, "use a fraction from 0 to 1"},
		{notFraction(s.ResendShare), "resend_share", s.ResendShare, "use a fraction from 0 to 1"},
		{notFraction(s.CancelShare), "cancel_share", s.CancelShare, "use a fraction from 0 to 1"},
	} {
		if c.invalid {
			return &config.Error{Field: c.name, Message: fmt.Sprintf("value %v is not allowed", c.value), Remedy: c.remedy}
		}
	}
	return s.checkTargets()
}

func notFraction(f float64) bool { return !(f >= 0 && f <= 1) }

func (s Settings) checkTargets() error {
	for _, t := range s.Targets {
		u, err := url.Parse(t)
		if err != nil || u.Scheme != "http" || u.Host == "" {
			return &config.Error{Field: "targets", Message: fmt.Sprintf("%q is not a base URL", t), Remedy: "use http://ADDRESS:PORT"}
		}
		ip := net.ParseIP(u.Hostname())
		if !s.AllowRemote && (ip == nil || !ip.IsLoopback()) {
			return &config.Error{Field: "targets", Message: fmt.Sprintf("%q is not a loopback address", t), Remedy: "allow it with --allow-remote"}
		}
	}
	return nil
}
