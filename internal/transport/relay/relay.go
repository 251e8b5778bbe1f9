package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"

	"github.com/gorilla/mux"

	"chervilhead/internal/transport/httpd"
)

// configPath is the path of the configuration in force.
const configPath = "/config"

// maxConfigBytes bounds a configuration; the store holds at most 64 KB in a row.
const maxConfigBytes = 1 << 20

// Listen serves a gateway's configuration in force to others on a TCP address; config returns it
// as the store held it, or nil if there is none.
func Listen(address string, config func() []byte) (*httpd.Server, error) {
	r := mux.NewRouter()
	r.HandleFunc(configPath, func(w http.ResponseWriter, _ *http.Request) {
		data := config()
		if len(data) == 0 {
			http.Error(w, "no configuration", http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Content-Length", strconv.Itoa(len(data)))
		_, _ = w.Write(data)
	}).Methods(http.MethodGet)
	return httpd.Listen(address, r)
}

// Client reads configurations from other gateways.
type Client struct{ http *http.Client }

// NewClient returns a client that opens a connection for each read, because reads are rare.
func NewClient() *Client {
	return &Client{&http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}}
}

var errTooLong = errors.New("the configuration exceeds the size limit")

// ReadConfig implements watch.Relay.
func (c *Client) ReadConfig(ctx context.Context, address string) ([]byte, error) {
	// The address comes in a datagram.
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, fmt.Errorf("address of the gateway: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+configPath, nil)
	if err != nil {
		return nil, fmt.Errorf("read the configuration from %s: %w", address, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("read the configuration from %s: %w", address, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("read the configuration from %s: status %d", address, resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxConfigBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read the configuration from %s: %w", address, err)
	}
	if len(data) > maxConfigBytes {
		return nil, fmt.Errorf("read the configuration from %s: %w", address, errTooLong)
	}
	return data, nil
}
