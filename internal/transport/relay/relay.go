package relay

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"chervilhead/internal/protocol/http1"
	"chervilhead/internal/transport/bulk"
	"chervilhead/internal/transport/httpd"
)

// configPath is the path of the configuration in force.
const configPath = "/config"

// limits bound a read from another gateway: it answers in milliseconds unless it is out of reach, in
// which case its next announcement starts another read.
var limits = bulk.Limits{Head: 500 * time.Millisecond, Stall: 500 * time.Millisecond, MinRate: 32 << 10, Bytes: 8 << 20}

// compressed holds the compressed form of the configuration that was asked for last.
type compressed struct {
	mu         sync.Mutex
	plain, zip []byte
}

// of returns the compressed form of a configuration, which many gateways may ask for at once.
func (c *compressed) of(plain []byte) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.plain) == len(plain) && &c.plain[0] == &plain[0] {
		return c.zip, nil
	}
	var buf bytes.Buffer
	z, err := gzip.NewWriterLevel(&buf, gzip.BestSpeed)
	if err == nil {
		_, err = z.Write(plain)
	}
	if err == nil {
		err = z.Close()
	}
	if err != nil {
		return nil, fmt.Errorf("compress the configuration: %w", err)
	}
	c.plain, c.zip = plain, buf.Bytes()
	return c.zip, nil
}

// Held is a configuration that a process can hand out; Data is as the store holds it, and empty if
// there is none.
type Held struct {
	Version uint64
	Data    []byte
}

// newerThanParam names the version that the caller has; only a higher one is sent to it.
const newerThanParam = "newer_than"

// Listen serves a process's configuration to gateways on a TCP address; config returns it.
func Listen(address string, config func(context.Context) (Held, error)) (*httpd.Server, error) {
	r := mux.NewRouter()
	var zipped compressed
	r.HandleFunc(configPath, func(w http.ResponseWriter, req *http.Request) {
		held, err := config(req.Context())
		if err != nil || len(held.Data) == 0 {
			http.Error(w, "no configuration", http.StatusServiceUnavailable)
			return
		}
		if has, err := strconv.ParseUint(req.URL.Query().Get(newerThanParam), 10, 64); err == nil && held.Version <= has {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		data := held.Data
		w.Header().Set("Content-Type", "application/json")
		if strings.Contains(req.Header.Get("Accept-Encoding"), "gzip") {
			zip, err := zipped.of(data)
			if err != nil {
				http.Error(w, err.Error(), http.StatusInternalServerError)
				return
			}
			w.Header().Set("Content-Encoding", "gzip")
			data = zip
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(data)))
		_, _ = w.Write(data)
	}).Methods(http.MethodGet)
	return httpd.Listen(address, r)
}

// Client reads configurations from other processes.
type Client struct{ http *http.Client }

// NewClient returns a client that opens a connection for each read, because reads are rare.
func NewClient() *Client {
	return &Client{&http.Client{Transport: http1.NewTransport(http1.TransportSettings{})}}
}

// ReadConfig implements watch.Relay.
func (c *Client) ReadConfig(ctx context.Context, address string, newerThan uint64) ([]byte, error) {
	// The address comes in a datagram.
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, fmt.Errorf("address of the gateway: %w", err)
	}
	ctx, call, cancel := bulk.New(ctx, limits, nil)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+configPath+"?"+newerThanParam+"="+strconv.FormatUint(newerThan, 10), nil)
	if err != nil {
		return nil, fmt.Errorf("read the configuration from %s: %w", address, err)
	}
	req.Header.Set("Accept-Encoding", "gzip")
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("read the configuration from %s: %w", address, call.Err(err))
	}
	body := resp.Body
	defer body.Close()
	if resp.StatusCode == http.StatusNoContent {
		return nil, nil
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("read the configuration from %s: status %d", address, resp.StatusCode)
	}
	if resp.Header.Get("Content-Encoding") == "gzip" {
		z, err := gzip.NewReader(body)
		if err != nil {
			return nil, fmt.Errorf("read the configuration from %s: %w", address, call.Err(err))
		}
		resp.Body, resp.ContentLength = z, -1
	}
	data, err := call.Read(resp)
	if err != nil {
		return nil, fmt.Errorf("read the configuration from %s after %d bytes: %w", address, len(data), err)
	}
	return data, nil
}
