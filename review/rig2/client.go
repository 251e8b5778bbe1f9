package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// request is a request of a client.
type request struct {
	gateway *proc
	method  string
	path    string
	body    string
	// model and prompt are set for requests to a model.
	model, prompt string
	deadline      time.Duration
	// resumes names the attempt whose stream the request takes up after its event number last.
	resumes string
	last    int
}

// answer is what the client saw.
type answer struct {
	id     string
	sentAt time.Time
	status int
	// detail is the body of an answer of the gateway's own, or what went wrong.
	detail string
	events int
	// served is set for a success with the runner's seal and its whole body, begun once the first
	// event of a stream has come.
	served, begun bool
	// versions are those of the runners that made the events.
	versions []string
	// lastEvent is the number of the last event, of all that a stream has.
	lastEvent, lastOf int
}

// deadlineSlack is how long past its deadline a client still reads.
const deadlineSlack = 500 * time.Millisecond

var requestNumber atomic.Int64

// client is shared by the requests of a case; it keeps channels open.
var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, DisableCompression: true, IdleConnTimeout: 20 * time.Second}}

// send sends a request and reads its answer.
func (f *fleet) send(q request) (a answer) {
	a = answer{id: fmt.Sprintf("%016x", requestNumber.Add(1)), sentAt: time.Now()}
	defer func() {
		f.rec.notef("client: %s %s%s prompt %q at %s: status %d, %d events, served %v, versions %v %s", a.id, q.method+" ", q.path, q.prompt, q.gateway.name, a.status, a.events, a.served, a.versions, a.detail)
	}()
	req, err := http.NewRequest(q.method, "http://"+q.gateway.front+q.path, strings.NewReader(q.body))
	if err != nil {
		a.detail = err.Error()
		return a
	}
	req.Host = routeHost
	req.Header.Set(headerID, a.id)
	req.Header.Set(headerDeadline, strconv.FormatInt(q.deadline.Milliseconds(), 10))
	if q.model != "" {
		req.Header.Set(headerModel, q.model)
		req.Header.Set(headerPrompt, q.prompt)
		req.Header.Set(headerTokens, strconv.Itoa(tokensOf(q.prompt))+",60")
	}
	if q.resumes != "" {
		req.Header.Set(headerResumes, q.resumes)
		req.Header.Set(headerLast, strconv.Itoa(q.last))
	}
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline+deadlineSlack)
	defer cancel()
	resp, err := client.Do(req.WithContext(ctx))
	if err != nil {
		a.detail = err.Error()
		return a
	}
	defer resp.Body.Close()
	a.status = resp.StatusCode
	sealed := resp.Header.Get(headerSeal) == "seal."+a.id
	if resp.StatusCode != http.StatusOK || q.model == "" {
		data, err := io.ReadAll(resp.Body)
		a.detail = strings.TrimSpace(string(data))
		a.served = err == nil && sealed && resp.StatusCode == http.StatusOK && a.detail == "answer to "+a.id
		return a
	}
	return readStream(resp.Body, a, sealed)
}

// readStream reads the events of an answer.
func readStream(body io.Reader, a answer, sealed bool) answer {
	s := bufio.NewScanner(body)
	inOrder := true
	for s.Scan() {
		data, ok := strings.CutPrefix(s.Text(), "data: ")
		if !ok {
			continue
		}
		var n, of int
		_, text, _ := strings.Cut(data, " ")
		if _, err := fmt.Sscanf(text, "piece %d of %d", &n, &of); err != nil {
			continue
		}
		_, version, _ := strings.Cut(text, " by ")
		if !slices.Contains(a.versions, version) {
			a.versions = append(a.versions, version)
		}
		inOrder = inOrder && (a.events == 0 || n == a.lastEvent+1)
		a.events++
		a.begun = a.begun || sealed
		a.lastEvent, a.lastOf = n, of
	}
	if err := s.Err(); err != nil {
		a.detail = err.Error()
		return a
	}
	a.served = sealed && inOrder && a.events > 0 && a.lastEvent == a.lastOf
	return a
}

// tokensOf returns the number of tokens of a prompt.
func tokensOf(prompt string) int {
	total := 0
	for part := range strings.SplitSeq(prompt, ",") {
		_, tokens, _ := strings.Cut(part, ":")
		n, _ := strconv.Atoi(tokens)
		total += n
	}
	return total
}
