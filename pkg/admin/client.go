package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"chervilhead/internal/state/ident"
)

const (
	headerEditID = "Chervilhead-Edit-Id"
	// maxEditTries bounds how often an edit is sent, its first time included.
	maxEditTries = 4
	// maxReplyBytes bounds the size of a reply; the whole table at its target size takes less
	// than 1 MB.
	maxReplyBytes = 32 << 20
)

// Client calls the operators' API of one entry.
type Client struct {
	base string
	key  string
	http *http.Client
	// Wait is the pause before an edit without a conclusive reply is sent again; New sets it to 1 s.
	Wait time.Duration
}

// New returns a client of the entry with the given operators' address (HOST:PORT or URL);
// key is the bearer key that it sends.
func New(address, key string, hc *http.Client) *Client {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return &Client{base: strings.TrimRight(address, "/") + "/admin/v1", key: key, http: hc, Wait: time.Second}
}

// Table returns the newest committed table.
func (c *Client) Table(ctx context.Context) (Table, error) {
	var t Table
	err := c.get(ctx, "/table", &t)
	return t.Indexed(), err
}

// Apply commits an edit. If the reply is lost or reports a server error, it sends the edit
// again with the same id; it returns *UnsettledError if the outcome is still unknown.
func (c *Client) Apply(ctx context.Context, e Edit) (Edited, error) {
	body, err := json.Marshal(e)
	if err != nil {
		return Edited{}, fmt.Errorf("encode edit: %w", err)
	}
	return c.edit(ctx, "/edits", e.ID, e.DryRun, body)
}

// Undo commits an edit that reverts the rows of the accepted edit with the given revision.
// It sends again and fails as Apply does.
func (c *Client) Undo(ctx context.Context, revision uint64, editID string, dryRun bool) (Edited, error) {
	return c.edit(ctx, fmt.Sprintf("/history/%d/undo", revision), editID, dryRun, nil)
}

func (c *Client) edit(ctx context.Context, path, id string, dryRun bool, body []byte) (Edited, error) {
	if id == "" {
		id = ident.New("edit-")
	}
	if dryRun {
		path += "?dry_run=true"
	}
	var out Edited
	for try := 1; ; try++ {
		err := c.call(ctx, http.MethodPost, path, id, body, &out)
		if err == nil || notApplied(err) {
			return out, err
		}
		if try == maxEditTries {
			return out, &UnsettledError{EditID: id, Cause: err}
		}
		timer := time.NewTimer(c.Wait)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return out, &UnsettledError{EditID: id, Cause: err}
		}
	}
}

// notApplied reports whether an error proves that the edit was not accepted.
func notApplied(err error) bool {
	var stale *StaleError
	var apiErr *Error
	return errors.As(err, &stale) || errors.As(err, &apiErr) && apiErr.Status < http.StatusInternalServerError
}

// History returns at most limit accepted edits with revisions below before, newest first;
// 0 starts at the newest.
func (c *Client) History(ctx context.Context, before uint64, limit int) ([]HistoryEntry, error) {
	var out struct {
		Edits []HistoryEntry `json:"edits"`
	}
	err := c.get(ctx, fmt.Sprintf("/history?before=%d&limit=%d", before, limit), &out)
	return out.Edits, err
}

// Diff returns the difference between two revisions; 0 as to means the newest.
func (c *Client) Diff(ctx context.Context, from, to uint64) (Diff, error) {
	var out Diff
	q := url.Values{"from": {strconv.FormatUint(from, 10)}, "to": {strconv.FormatUint(to, 10)}}
	err := c.get(ctx, "/diff?"+q.Encode(), &out)
	return out, err
}

// Propagation returns which nodes have the newest revision in force.
func (c *Client) Propagation(ctx context.Context) (Propagation, error) {
	var out Propagation
	err := c.get(ctx, "/propagation", &out)
	return out, err
}

func (c *Client) get(ctx context.Context, path string, out any) error {
	return c.call(ctx, http.MethodGet, path, "", nil, out)
}

func (c *Client) call(ctx context.Context, method, path, id string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("operators' address: %w; use HOST:PORT", err)
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	if id != "" {
		req.Header.Set(headerEditID, id)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("operators' API: %w", err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return fmt.Errorf("operators' API: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return responseError(resp, data)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("operators' API: malformed reply: %w", err)
	}
	return nil
}

func responseError(resp *http.Response, data []byte) error {
	var body struct {
		Error struct {
			Message string `json:"message"`
			Code    string `json:"code"`
		} `json:"error"`
		Rows []StaleRow `json:"rows"`
	}
	if err := json.Unmarshal(data, &body); err != nil || body.Error.Code == "" {
		return &Error{Status: resp.StatusCode, Code: "unexpected_reply", Message: fmt.Sprintf("the operators' API answered %s", resp.Status)}
	}
	if resp.StatusCode == http.StatusPreconditionFailed {
		return &StaleError{Message: body.Error.Message, Rows: body.Rows}
	}
	seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
	return &Error{
		Status: resp.StatusCode, Code: body.Error.Code, Message: body.Error.Message,
		RetryAfter: time.Duration(seconds) * time.Second,
	}
}
