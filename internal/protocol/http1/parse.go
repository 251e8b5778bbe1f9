package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
)

// ErrMalformed means that bytes are no response in the protocol. What follows them on the connection
// can't be told apart either.
var ErrMalformed = errors.New("the bytes are no response in the protocol")

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// ValidStatus reports whether a status is one of the protocol's.
func ValidStatus(status int) bool { return status >= 100 && status <= 599 }

// ValidFieldName reports whether a name of a field is a token.
func ValidFieldName(name string) bool {
	return name != "" && !strings.ContainsFunc(name, func(r rune) bool { return r >= 0x80 || !tokenBytes[byte(r)] })
}

// ValidFieldValue reports whether the value of a field has no control bytes except tabs.
func ValidFieldValue(value string) bool {
	for i := range len(value) {
		if isControl(value[i]) {
			return false
		}
	}
	return true
}

// CheckHead returns an error unless the status and the fields of a final response, which came by
// another way than HTTP/1, are valid.
func CheckHead(status int, header http.Header) error {
	if !ValidStatus(status) || status < http.StatusOK {
		return malformed("status %d", status)
	}
	for name, values := range header {
		if !ValidFieldName(name) {
			return malformed("field name %q", name)
		}
		for _, v := range values {
			if !ValidFieldValue(v) {
				return malformed("value %q of field %s", v, name)
			}
		}
	}
	return nil
}

// tokenBytes are the bytes of a token.
var tokenBytes = func() (t [256]bool) {
	for _, b := range []byte("!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz") {
		t[b] = true
	}
	return t
}()

func isControl(b byte) bool { return b < ' ' && b != '\t' || b == 0x7f }

// readHead reads the head of one response, which may be an interim one.
func readHead(br *bufio.Reader, method string) (*http.Response, error) {
	line, err := readLine(br)
	if err != nil {
		return nil, err
	}
	resp := &http.Response{Request: &http.Request{Method: method}}
	if err := parseStatusLine(resp, string(line)); err != nil {
		return nil, err
	}
	if resp.Header, err = readFields(br); err != nil {
		return nil, err
	}
	if err := parseFraming(resp); err != nil {
		return nil, err
	}
	return resp, nil
}

// readLine reads a line and returns it without its end. The line is valid until the next read.
func readLine(br *bufio.Reader) ([]byte, error) {
	line, err := br.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		var long bytes.Buffer
		for errors.Is(err, bufio.ErrBufferFull) {
			long.Write(line)
			line, err = br.ReadSlice('\n')
		}
		long.Write(line)
		line = long.Bytes()
	}
	if errors.Is(err, io.EOF) {
		return nil, io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	line = bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
	if i := slices.IndexFunc(line, isControl); i >= 0 {
		return nil, malformed("control byte %#x in a line of the head", line[i])
	}
	return line, nil
}

// statusDigits is the length of a status.
const statusDigits = 3

func parseStatusLine(resp *http.Response, line string) error {
	proto, rest, _ := strings.Cut(line, " ")
	status, reason, _ := strings.Cut(rest, " ")
	switch proto {
	case "HTTP/1.1":
		resp.ProtoMinor = 1
	case "HTTP/1.0":
	default:
		return malformed("protocol %q", proto)
	}
	n, err := strconv.ParseUint(status, 10, 16)
	if err != nil || len(status) != statusDigits || !ValidStatus(int(n)) {
		return malformed("status %q", status)
	}
	if n == http.StatusSwitchingProtocols {
		return malformed("the response switches to a protocol that was not asked for")
	}
	resp.Proto, resp.ProtoMajor = proto, 1
	resp.StatusCode, resp.Status = int(n), status+" "+reason
	return nil
}

// readFields reads fields up to an empty line.
func readFields(br *bufio.Reader) (http.Header, error) {
	h := http.Header{}
	for n := 0; ; n++ {
		line, err := readLine(br)
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			return h, nil
		}
		if n == maxFields {
			return nil, errHeadTooLong
		}
		// A name that isn't a token may be a continued line, or a field that others read otherwise.
		name, value, found := bytes.Cut(line, []byte(":"))
		if !found || !ValidFieldName(string(name)) {
			return nil, malformed("field name %q", name)
		}
		key := textproto.CanonicalMIMEHeaderKey(string(name))
		h[key] = append(h[key], string(bytes.Trim(value, " \t")))
	}
}

// parseFraming reads from the head what ends the response's body, and whether it ends the connection.
func parseFraming(resp *http.Response) error {
	h := resp.Header
	codings, lengths := h["Transfer-Encoding"], h["Content-Length"]
	resp.ContentLength = -1
	resp.Close = resp.ProtoMinor == 0
	for _, v := range h["Connection"] {
		for token := range strings.SplitSeq(v, ",") {
			switch {
			case strings.EqualFold(strings.TrimSpace(token), "close"):
				resp.Close = true
			case strings.EqualFold(strings.TrimSpace(token), "keep-alive") && resp.ProtoMinor == 0:
				resp.Close = false
			}
		}
	}
	if len(codings) > 0 {
		if len(codings) != 1 || !strings.EqualFold(codings[0], "chunked") || resp.ProtoMinor == 0 || len(lengths) > 0 {
			return malformed("transfer coding %q beside length %q", codings, lengths)
		}
		delete(h, "Transfer-Encoding")
		resp.TransferEncoding = []string{"chunked"}
	}
	for _, v := range lengths {
		n, err := strconv.ParseUint(v, 10, 63)
		if err != nil || v != lengths[0] {
			return malformed("lengths %q", lengths)
		}
		resp.ContentLength = int64(n)
	}
	if len(lengths) > 1 {
		h["Content-Length"] = lengths[:1]
	}
	switch s := resp.StatusCode; {
	case resp.Request.Method == http.MethodHead:
	case s < http.StatusOK, s == http.StatusNoContent, s == http.StatusNotModified:
		resp.ContentLength, resp.TransferEncoding = 0, nil
	}
	if FramingOf(resp) == FramingConnection {
		resp.Close = true
	}
	return nil
}
