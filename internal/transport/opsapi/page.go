package opsapi

import (
	_ "embed"
	"net/http"
)

//go:embed page.html
var pageHTML []byte

// servePage serves a page that shows the table as an editable grid. The page contains no
// data: its script asks for an operator's key and reads the table with it.
func servePage(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'; script-src 'unsafe-inline'; connect-src 'self'; frame-ancestors 'none'")
	_, _ = w.Write(pageHTML)
}
