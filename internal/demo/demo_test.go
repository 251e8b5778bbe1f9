package demo

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
	"github.com/sirupsen/logrus"

	"chervilhead/internal/config"
	"chervilhead/internal/standin/engsim"
)

func startDemo(t *testing.T, opts ...func(*config.Demo)) *Demo {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	cfg := *config.DefaultDemo()
	cfg.Listen, cfg.Admin, cfg.TokenInterval = "127.0.0.1:0", "127.0.0.1:0", time.Millisecond
	for _, o := range opts {
		o(&cfg)
	}
	d, err := Start(cfg, log.WithField("service", "demo"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Stop)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	if err := d.WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	return d
}

func newClient(d *Demo, key string) openai.Client {
	return openai.NewClient(option.WithBaseURL("http://"+d.CallerAddresses()[0]+"/v1"), option.WithAPIKey(key), option.WithMaxRetries(0))
}

func chatParams(model, text string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model: model, Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(text)},
	}
}

// TestClientLibrary guards against answers and errors that an unmodified client library misreads.
func TestClientLibrary(t *testing.T) {
	d := startDemo(t)
	c := newClient(d, RegistryGroupKey)
	ctx := t.Context()
	want := engsim.Answer("corral-00", "which corral?", 24)

	t.Run("models", func(t *testing.T) {
		page, err := c.Models.List(ctx)
		if err != nil || len(page.Data) != modelCount+adapterCount {
			t.Fatalf("got %d models, error %v", len(page.Data), err)
		}
	})
	t.Run("whole", func(t *testing.T) {
		got, err := c.Chat.Completions.New(ctx, chatParams("corral-00", "which corral?"))
		if err != nil || got.Choices[0].Message.Content != want {
			t.Fatalf("got %+v, error %v", got, err)
		}
	})
	t.Run("stream", func(t *testing.T) {
		s := c.Chat.Completions.NewStreaming(ctx, chatParams("corral-00", "which corral?"))
		var acc openai.ChatCompletionAccumulator
		for s.Next() {
			acc.AddChunk(s.Current())
		}
		if s.Err() != nil || acc.Choices[0].Message.Content != want || acc.Choices[0].FinishReason != "stop" {
			t.Fatalf("got %+v, error %v", acc.Choices, s.Err())
		}
	})
	t.Run("adapter", func(t *testing.T) {
		got, err := c.Chat.Completions.New(ctx, chatParams("adapter-007", "hello"))
		if err != nil || got.Choices[0].Message.Content != engsim.Answer("adapter-007", "hello", 24) {
			t.Fatalf("got %+v, error %v", got, err)
		}
	})
	badKey := newClient(d, "wrong")
	for _, tc := range []struct {
		name   string
		call   func() error
		status int
		code   string
	}{
		{"bad key", func() error { _, err := badKey.Chat.Completions.New(ctx, chatParams("corral-00", "x")); return err }, 401, "invalid_api_key"},
		{"unknown model", func() error { _, err := c.Chat.Completions.New(ctx, chatParams("none", "x")); return err }, 404, "model_not_found"},
		{"oversized body", func() error {
			_, err := c.Chat.Completions.New(ctx, chatParams("corral-00", strings.Repeat("x", 2<<20)))
			return err
		}, 413, "body_too_large"},
		{"malformed JSON", func() error {
			return c.Post(ctx, "chat/completions", nil, nil, option.WithRequestBody("application/json", strings.NewReader("{")))
		}, 400, "malformed_json"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var apiErr *openai.Error
			if err := tc.call(); !errors.As(err, &apiErr) {
				t.Fatalf("got %v, want an API error", err)
			}
			if apiErr.StatusCode != tc.status || apiErr.Code != tc.code || apiErr.Response.Header.Get("Chervilhead-Outcome") != "not_run" {
				t.Fatalf("got status %d, code %q, header %v", apiErr.StatusCode, apiErr.Code, apiErr.Response.Header)
			}
		})
	}
}

// TestStopFinishesStreams guards against a planned stop that cuts a stream off.
func TestStopFinishesStreams(t *testing.T) {
	d := startDemo(t)
	body := `{"model":"corral-03","stream":true,"max_tokens":400,"prompt":"long"}`
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+d.CallerAddresses()[1]+"/v1/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+RecallGroupKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	go d.Stop()
	data, err := io.ReadAll(resp.Body)
	if err != nil || !strings.Contains(string(data), " w399") || !strings.HasSuffix(string(data), "data: [DONE]\n\n") {
		t.Fatalf("stream ended early after %d bytes, error %v", len(data), err)
	}
	if got := resp.Trailer.Get("Chervilhead-Outcome"); got != "complete" {
		t.Fatalf("outcome %q in the trailer", got)
	}
}
