package cmds

import (
	"strings"
	"testing"
)

const accountLog = `
 1.0 gw-1 {"message":"request ended","route":"chat","outcome":"answered","time":"2026-01-01T00:00:01Z"}
 1.1 gw-1 {"message":"request ended","route":"chat","outcome":"answered","late":"gap","time":"2026-01-01T00:00:01Z"}
 1.2 gw-2 {"message":"request ended","route":"chat","outcome":"answered","time":"2026-01-01T00:00:01Z"}
 1.3 gw-2 {"message":"request ended","route":"chat","outcome":"stream_broken:stream_broken","time":"2026-01-01T00:00:01Z"}
 1.4 gw-2 {"message":"attempt failed","route":"chat","time":"2026-01-01T00:00:01Z"}
 1.5 gw-2 {"message":"request ended","outcome":"no_route","time":"2026-01-01T00:00:01Z"}
 1.6 gw-2 {"message":"request ended","route":"book","outcome":"answered","late":"first","time":"2026-01-01T00:00:01Z"}
`

func TestAccount(t *testing.T) {
	a := newServiceAccount()
	if err := a.read(strings.NewReader(accountLog)); err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	if err := a.print(&b); err != nil {
		t.Fatal(err)
	}
	want := `       route         result  requests  share
  (no route)       no_route         1  1.000
        book    late: first         1  1.000
        chat        in time         2  0.500
        chat      late: gap         1  0.250
        chat  stream_broken         1  0.250
`
	if b.String() != want {
		t.Errorf("got\n%swant\n%s", b.String(), want)
	}
}
