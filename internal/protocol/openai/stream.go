package openai

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// MaxEventBytes limits one line of a server-sent event.
const MaxEventBytes = 1 << 20

// ErrDone is returned at the end of a stream that sent its [DONE] event.
var ErrDone = errors.New("stream is done")

var (
	dataPrefix = []byte("data:")
	doneMarker = []byte("[DONE]")
)

// Scanner reads the data of server-sent events.
type Scanner struct{ lines *bufio.Scanner }

// NewScanner returns a scanner of the events in r.
func NewScanner(r io.Reader) *Scanner {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 4096), MaxEventBytes)
	s.Split(scanCompleteLines)
	return &Scanner{lines: s}
}

// scanCompleteLines is a bufio.SplitFunc for lines. It drops an unterminated last line,
// because that is an event cut off by a broken connection, unless it is the [DONE] event.
func scanCompleteLines(data []byte, atEOF bool) (int, []byte, error) {
	n, line, err := bufio.ScanLines(data, false)
	if !atEOF || n > 0 || len(data) == 0 {
		return n, line, err
	}
	if rest, ok := bytes.CutPrefix(data, dataPrefix); ok && bytes.Equal(bytes.TrimSpace(rest), doneMarker) {
		return len(data), data, nil
	}
	return len(data), nil, nil
}

// Next returns the data of the next event, ErrDone after the [DONE] event, or
// io.ErrUnexpectedEOF when the stream ends without it.
func (s *Scanner) Next() (json.RawMessage, error) {
	for s.lines.Scan() {
		line := s.lines.Bytes()
		data, ok := bytes.CutPrefix(line, dataPrefix)
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, doneMarker) {
			return nil, ErrDone
		}
		return bytes.Clone(data), nil
	}
	if err := s.lines.Err(); err != nil {
		return nil, fmt.Errorf("read event: %w", err)
	}
	return nil, io.ErrUnexpectedEOF
}

// AppendEvent appends data, framed as a server-sent event, to buf.
func AppendEvent(buf, data []byte) []byte {
	buf = append(buf, "data: "...)
	buf = append(buf, data...)
	return append(buf, "\n\n"...)
}
