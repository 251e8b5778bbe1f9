package cmds

import (
	"strings"
	"testing"
)

const explainLog = `
 1.0 gw-1 {"endpoint":"e1","message":"endpoint listed","time":"2026-01-01T00:00:01Z"}
 2.0 gw-2 {"endpoint":"e9","message":"endpoint listed","time":"2026-01-01T00:00:02Z"}
 3.1 gw-1 {"request":"r1","endpoint":"e1","message":"attempt failed","why":"request failed (sent): EOF","took_ms":100,"time":"2026-01-01T00:00:03.1Z"}
 3.0 side {"endpoint":"e1","message":"a move was ordered","load":"m","time":"2026-01-01T00:00:03Z"}
not a log line {
 3.3 gw-1 {"request":"r2","endpoint":"e1","message":"request ended","time":"2026-01-01T00:00:03.2Z"}
 3.2 gw-1 {"request":"r1","endpoint":"e1","message":"request ended","status":502,"error":null,"took_ms":200,"time":"2026-01-01T00:00:03.2Z"}
 3.4 gw-2 {"request":"r4","resumes":"r1","reason":"version_gone","record_version":"one","message":"a resumption did not go where a new stream would","time":"2026-01-01T00:00:03.4Z"}
 9.9 gw-1 {"endpoint":"e1","message":"endpoint gone","time":"2026-01-01T00:00:09.9Z"}
`

func TestExplain(t *testing.T) {
	lines, err := readLog(strings.NewReader(explainLog))
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	if err := printRequestLog(&b, "r1", lines); err != nil {
		t.Fatal(err)
	}
	want := `00:00:01.000 1.0 gw-1  endpoint listed endpoint="e1"
00:00:03.000 3.0 side  a move was ordered endpoint="e1" load="m"
00:00:03.100 3.1 gw-1  attempt failed endpoint="e1" request="r1" took_ms=100 why="request failed (sent): EOF"
00:00:03.200 3.2 gw-1  request ended endpoint="e1" request="r1" status=502 took_ms=200
00:00:03.400 3.4 gw-2  a resumption did not go where a new stream would reason="version_gone" record_version="one" request="r4" resumes="r1"
`
	if b.String() != want {
		t.Errorf("got\n%swant\n%s", b.String(), want)
	}
	if err := printRequestLog(&b, "r3", lines); err == nil {
		t.Error("an unknown request was explained")
	}
}

// TestExplainRefusal guards against a refusal for want of memory whose cause the command doesn't show.
func TestExplainRefusal(t *testing.T) {
	lines, err := readLog(strings.NewReader(`
 1.0 gw-1 {"listener":"callers","why":"body","number":7,"client_bytes":900,"message":"clients that make no progress are shed","time":"2026-01-01T00:00:01Z"}
 1.1 gw-2 {"listener":"callers","why":"body","message":"clients that make no progress are shed","time":"2026-01-01T00:00:01Z"}
 2.0 gw-1 {"request":"r1","outcome":"memory","status":503,"client_bytes":1000,"message":"request ended","time":"2026-01-01T00:00:02Z"}
`))
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	if err := printRequestLog(&b, "r1", lines); err != nil {
		t.Fatal(err)
	}
	want := `00:00:01.000 1.0 gw-1  clients that make no progress are shed client_bytes=900 listener="callers" number=7 why="body"
00:00:02.000 2.0 gw-1  request ended client_bytes=1000 outcome="memory" request="r1" status=503
memory: ` + refusals["memory"] + "\n"
	if b.String() != want {
		t.Errorf("got\n%swant\n%s", b.String(), want)
	}
}
