package peer

import (
	"context"
	"net"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics counts the bytes and connections between the system's own processes. A nil
// *Metrics counts nothing.
type Metrics struct {
	received prometheus.Counter
	sent     prometheus.Counter
	open     prometheus.Gauge
	opened   *prometheus.CounterVec
}

// NewMetrics registers the metrics of peer connections.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	bytes := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "chervilhead", Subsystem: "peer", Name: "bytes_total",
		Help: "Bytes carried by connections to the system's own processes, by direction.",
	}, []string{"direction"})
	m := &Metrics{
		received: bytes.WithLabelValues("received"), sent: bytes.WithLabelValues("sent"),
		open: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: "chervilhead", Subsystem: "peer", Name: "connections",
			Help: "Open connections to the system's own processes.",
		}),
		opened: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "chervilhead", Subsystem: "peer", Name: "connections_opened_total",
			Help: "Connections opened to the system's own processes, by the side that opened them.",
		}, []string{"side"}),
	}
	reg.MustRegister(bytes, m.open, m.opened)
	return m
}

// Dialer returns a dialer whose connections are counted.
func (m *Metrics) Dialer(d Dialer) Dialer {
	if m == nil {
		return d
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		nc, err := d(ctx, address)
		if err != nil {
			return nil, err
		}
		return m.count(nc, "local"), nil
	}
}

// Listener returns a listener whose accepted connections are counted.
func (m *Metrics) Listener(l net.Listener) net.Listener {
	if m == nil {
		return l
	}
	return &countedListener{Listener: l, m: m}
}

func (m *Metrics) count(nc net.Conn, side string) net.Conn {
	m.open.Inc()
	m.opened.WithLabelValues(side).Inc()
	return &countedConn{Conn: nc, m: m}
}

type countedListener struct {
	net.Listener
	m *Metrics
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.m.count(nc, "remote"), nil
}

type countedConn struct {
	net.Conn
	m    *Metrics
	once sync.Once
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.m.received.Add(float64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.m.sent.Add(float64(n))
	return n, err
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(c.m.open.Dec)
	return c.Conn.Close()
}
