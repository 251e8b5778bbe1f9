package plat

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
	"time"

	"chervilhead/internal/coordination/store"
	"chervilhead/internal/protocol/http1"
	"chervilhead/internal/state/fault"
)

// maxReplyBytes limits a reply; the largest is the whole table of a few thousand rows.
const maxReplyBytes = 32 << 20

// Settings are the addresses of the platform's services and the limits on calls to them.
type Settings struct {
	Table   string        `yaml:"table"`
	Objects string        `yaml:"objects"`
	Weights string        `yaml:"weights"`
	Hosts   string        `yaml:"hosts"`
	Timeout time.Duration `yaml:"timeout"`
	// RateLimits limits the calls per second that this process makes.
	RateLimits RateLimits `yaml:"budget"`
}

// Client calls the platform's services; it implements store.TableService, store.TableFeed,
// store.Weights, store.Hosts and store.HostFeed.
type Client struct {
	cfg     Settings
	http    *http.Client
	metrics *Metrics
	limits  *limits
}

// New returns a client whose calls keep to the timeout and rate limits in cfg.
func New(cfg Settings, hc *http.Client) *Client {
	return &Client{cfg: cfg, http: hc, limits: newLimits(cfg.RateLimits)}
}

// WithMetrics returns a client that counts its calls.
func (c *Client) WithMetrics(m *Metrics) *Client {
	return &Client{cfg: c.cfg, http: c.http, metrics: m, limits: c.limits}
}

// Read implements store.TableService.
func (c *Client) Read(ctx context.Context, prefix string) (store.Snapshot, error) {
	var out store.Snapshot
	err := c.call(ctx, "table", http.MethodGet, c.cfg.Table+PathTableRead+"?prefix="+url.QueryEscape(prefix), nil, &out)
	c.metrics.count("table", "read", cause(prefix), err)
	return out, err
}

// ReadSince implements store.TableFeed; a service that ignores the version returns all rows.
func (c *Client) ReadSince(ctx context.Context, prefix string, version uint64) (store.TableChanges, error) {
	var out store.TableChanges
	query := "?prefix=" + url.QueryEscape(prefix) + "&since=" + strconv.FormatUint(version, 10)
	err := c.call(ctx, "table", http.MethodGet, c.cfg.Table+PathTableRead+query, nil, &out)
	c.metrics.count("table", "since", cause(prefix), err)
	return out, err
}

// Get implements store.TableService.
func (c *Client) Get(ctx context.Context, key string) (store.Row, error) {
	var out store.Row
	err := c.call(ctx, "table", http.MethodGet, c.cfg.Table+PathTableGet+"?key="+url.QueryEscape(key), nil, &out)
	c.metrics.count("table", "get", cause(key), err)
	return out, err
}

// Commit implements store.TableService.
func (c *Client) Commit(ctx context.Context, txn store.Txn) (uint64, error) {
	body, err := json.Marshal(txn)
	if err != nil {
		return 0, fmt.Errorf("encode transaction: %w", err)
	}
	var out CommitReply
	err = c.call(ctx, "table", http.MethodPost, c.cfg.Table+PathTableCommit, body, &out)
	c.metrics.count("table", "commit", causeOfTxn(txn), err)
	return out.Version, err
}

// Put implements store.Objects.
func (c *Client) Put(ctx context.Context, name string, data []byte) error {
	err := c.call(ctx, "object", http.MethodPut, c.cfg.Objects+PathObjects+url.PathEscape(name), data, nil)
	c.metrics.count("objects", "put", cause(name), err)
	return err
}

// ObjectsClient returns the client as a store.Objects; Get on the client itself reads the table.
func (c *Client) ObjectsClient() store.Objects { return objectStore{c} }

type objectStore struct{ *Client }

// Get implements store.Objects.
func (o objectStore) Get(ctx context.Context, name string) ([]byte, error) {
	var out []byte
	err := o.call(ctx, "object", http.MethodGet, o.cfg.Objects+PathObjects+url.PathEscape(name), nil, &out)
	o.metrics.count("objects", "get", cause(name), err)
	return out, err
}

// Open implements store.Weights.
func (c *Client) Open(ctx context.Context, model string) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.cfg.Weights+PathWeights+url.PathEscape(model), nil)
	if err != nil {
		return nil, fmt.Errorf("weight store address: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fault.Outage("weight", err)
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, fault.Outage("weight", fmt.Errorf("status %d", resp.StatusCode))
	}
	if http1.FramingOf(resp) == http1.FramingConnection {
		_ = resp.Body.Close()
		return nil, fault.Outage("weight", errUnframed)
	}
	return resp.Body, nil
}

// List implements store.Hosts.
func (c *Client) List(ctx context.Context) ([]store.Host, error) {
	out, err := c.ListSince(ctx, 0)
	return out.Hosts, err
}

// ListSince implements store.HostFeed; a host list that ignores the version returns all hosts.
func (c *Client) ListSince(ctx context.Context, version uint64) (store.HostChanges, error) {
	var out store.HostChanges
	query := "?since=" + strconv.FormatUint(version, 10)
	err := c.call(ctx, "host list", http.MethodGet, c.cfg.Hosts+PathHosts+query, nil, &out)
	c.metrics.count("hosts", "list", "members", err)
	return out, err
}

// rateWaitDivisor divides a call's timeout to give the longest wait for the rate limit; the
// rest is left for the call itself.
const rateWaitDivisor = 2

func (c *Client) call(ctx context.Context, service, method, addr string, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	if err := c.limits.wait(ctx, c.cfg.Timeout/rateWaitDivisor, service, method); err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, addr, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("%s service address: %w", service, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fault.Outage(service, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes+1))
	if err != nil {
		return fault.Outage(service, err)
	}
	c.metrics.addBytes(service, len(body), len(data))
	if len(data) > maxReplyBytes {
		return fault.Outage(service, fmt.Errorf("reply exceeds %d bytes", maxReplyBytes))
	}
	switch {
	case resp.StatusCode == http.StatusConflict:
		return store.ErrConflict
	case resp.StatusCode == http.StatusNotFound:
		return store.ErrNotFound
	case resp.StatusCode/100 != 2:
		return fault.Outage(service, fmt.Errorf("status %d", resp.StatusCode))
	}
	if _, raw := out.(*[]byte); raw && http1.FramingOf(resp) == http1.FramingConnection {
		return fault.Outage(service, errUnframed)
	}
	return decode(service, data, out)
}

// errUnframed is the error of raw bytes that may have been cut off. Replies in JSON need no
// length, because a part of one does not decode.
var errUnframed = errors.New("the reply has neither a length nor chunks; it may be incomplete")

func decode(service string, data []byte, out any) error {
	switch v := out.(type) {
	case nil:
		return nil
	case *[]byte:
		*v = data
		return nil
	default:
		if err := json.Unmarshal(data, v); err != nil {
			return fault.Outage(service, fmt.Errorf("malformed reply: %w", err))
		}
		return nil
	}
}
