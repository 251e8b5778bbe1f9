package rawsim

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
)

// Endless is an answer that goes on until its connection is closed.
type Endless struct {
	// Start returns what is sent first, to a request whose id field has a value.
	Start func(id string) string
	// Next returns the bytes that follow, for each n from 0 on.
	Next func(n int) string
}

// endlessPiece is the number of bytes that are sent in one write.
const endlessPiece = 16 << 10

// EndlessAnswers returns forms of answers without end by name. head returns the fields that sound
// answers have, each with its line's end.
func EndlessAnswers(head func(id string) string) map[string]Endless {
	always := func(s string) func(int) string { return func(int) string { return s } }
	start := func(format string) func(id string) string {
		return func(id string) string { return strings.ReplaceAll(format, "{head}", head(id)) }
	}
	const ok, chunked, stream = "HTTP/1.1 200 OK\r\n{head}", "HTTP/1.1 200 OK\r\n{head}Transfer-Encoding: chunked\r\n\r\n", "HTTP/1.1 200 OK\r\n{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	long := strings.Repeat("a", endlessPiece)
	chunk := func(data string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(data), data) }
	return map[string]Endless{
		"nothing_known":    {start(""), always(long)},
		"status_line":      {start("HTTP/1.1 200 "), always(long)},
		"field":            {start(ok + "X: "), always(long)},
		"fields":           {start(ok), func(n int) string { return fmt.Sprintf("F%d: v\r\n", n) }},
		"equal_fields":     {start(ok), always("A:\r\n")},
		"interim":          {start(""), always("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")},
		"unframed":         {start(ok + "\r\n"), always(long)},
		"huge_length":      {start(ok + "Content-Length: 9000000000000000000\r\n\r\n"), always(long)},
		"chunks":           {start(chunked), always(chunk(long))},
		"small_chunks":     {start(chunked), always("1\r\na\r\n")},
		"chunk_head":       {start(chunked), always("0")},
		"extension":        {start(chunked + "1;x="), always(long)},
		"extensions":       {start(chunked), always("1;" + strings.Repeat("x", 2000) + "\r\na\r\n")},
		"trailer":          {start(chunked + chunk("whole") + "0\r\nX: "), always(long)},
		"trailers":         {start(chunked + chunk("whole") + "0\r\n"), func(n int) string { return fmt.Sprintf("F%d: v\r\n", n) }},
		"event":            {start(stream + chunk("id: 1\ndata: ")), always(chunk(long))},
		"event_lines":      {start(stream + chunk("id: 1\n")), always(chunk("data: a\n"))},
		"events":           {start(stream), func(n int) string { return chunk(fmt.Sprintf("id: %d\ndata: a\n\n", n+1)) }},
		"behind_refusal":   {start("HTTP/1.1 503 X\r\n{head}Content-Length: 2\r\n\r\nno"), always(long)},
		"refusal":          {start("HTTP/1.1 503 X\r\n{head}\r\n"), always(long)},
		"not_found":        {start("HTTP/1.1 404 X\r\n{head}\r\n"), always(long)},
		"error":            {start("HTTP/1.1 500 X\r\n{head}Transfer-Encoding: chunked\r\n\r\n"), always(chunk(long))},
		"of_other_request": {func(string) string { return "HTTP/1.1 200 OK\r\n" + head("another") + "\r\n" }, always(long)},
	}
}

// ListenEndless serves a form of answers on a free port of the loopback, until the listener is closed.
func ListenEndless(form Endless) (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for requests: %w", err)
	}
	go ServeEndless(l, func(*http.Request) *Endless { return &form }, func(*http.Request) string { return "" })
	return l, nil
}

// ServeEndless answers requests on connections that a listener accepts, until it is closed; form returns the
// answer to each, and id the value of its id field. A nil form leaves the request unanswered.
func ServeEndless(l net.Listener, form func(r *http.Request) *Endless, id func(r *http.Request) string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go ServeEndlessConn(c, form, id)
	}
}

// ServeEndlessConn answers the first request on one connection.
func ServeEndlessConn(c net.Conn, form func(r *http.Request) *Endless, id func(r *http.Request) string) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	f := form(r)
	if f == nil {
		return
	}
	_, err = c.Write([]byte(f.Start(id(r))))
	var b strings.Builder
	for n := 0; err == nil; {
		for b.Reset(); b.Len() < endlessPiece; n++ {
			b.WriteString(f.Next(n))
		}
		_, err = c.Write([]byte(b.String()))
	}
}
