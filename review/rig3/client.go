package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

var lastRequest atomic.Uint64

// call is one client attempt.
type call struct {
	method, path, body string
	header             map[string]string
	deadline           time.Duration
}

// result is what the client got.
type result struct {
	id     string
	status int
	header http.Header
	body   string
	// err is what cut the answer short.
	err  error
	took time.Duration
}

const routeHost = "rappel.example"

// send sends a request to a gateway on a new channel.
func (w *world) send(p *proc, c call) result {
	id := fmt.Sprintf("r%06d", lastRequest.Add(1))
	began := time.Now()
	out := result{id: id}
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+p.front+c.path, bytes.NewReader([]byte(c.body)))
	if err != nil {
		out.err = err
		return out
	}
	req.Host = routeHost
	for k, v := range c.header {
		req.Header.Set(k, v)
	}
	req.Header.Set(headerPrefix+"Request-Id", id)
	req.Header.Set(headerPrefix+"Deadline-Ms", fmt.Sprint(c.deadline.Milliseconds()))
	t := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer t.CloseIdleConnections()
	resp, err := t.RoundTrip(req)
	if err != nil {
		out.err, out.took = err, time.Since(began)
		return out
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	out.status, out.header, out.body, out.err, out.took = resp.StatusCode, resp.Header, string(data), err, time.Since(began)
	return out
}
