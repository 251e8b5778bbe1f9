package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/protocol/wire"
)

// streamEvent is one event of an engine's response stream.
const streamEvent = `{"id":"att-0123456789abcdef","object":"chat.completion.chunk","created":1,"model":"corral-00","choices":[{"index":0,"delta":{"content":" w17"},"finish_reason":null}]}`

func testChunk(items int) wire.Chunk {
	c := wire.Chunk{AttemptID: "att-0123456789abcdef", Incarnation: "inc-0123456789abcdef", Offset: 17}
	for range items {
		c.Items = append(c.Items, json.RawMessage(streamEvent))
	}
	return c
}

// chunkReceiver is a handler that sends each received chunk to the channel.
type chunkReceiver chan wire.Chunk

func (r chunkReceiver) Serve(_ context.Context, _ *Conn, _ string, params json.RawMessage) (any, error) {
	m, err := Decode[wire.Chunk](params)
	r <- m
	return nil, err
}

func (r chunkReceiver) HandleChunk(m wire.Chunk) { r <- m }

// connect returns the sending side of a loopback connection whose other side serves h.
func connect(tb testing.TB, h Handler) *Conn {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { l.Close() })
	log := logrus.New()
	log.SetOutput(io.Discard)
	go Serve(tb.Context(), l, h, logrus.NewEntry(log))
	nc, err := Dial(tb.Context(), l.Addr().String())
	if err != nil {
		tb.Fatal(err)
	}
	c := NewConn(tb.Context(), nc, h, logrus.NewEntry(log))
	tb.Cleanup(c.Close)
	return c
}

// BenchmarkChunk sends chunks of several sizes over a loopback connection.
func BenchmarkChunk(b *testing.B) {
	for _, n := range []int{1, 4, 16, 64} {
		b.Run(fmt.Sprintf("items=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			received := make(chunkReceiver, 1024)
			c, m := connect(b, received), testChunk(n)
			b.ResetTimer()
			go func() {
				for range b.N {
					if c.Notify(b.Context(), wire.MethodChunk, m) != nil {
						return
					}
				}
			}()
			for range b.N {
				if m := <-received; len(m.Items) != n {
					b.Errorf("chunk has %d items", len(m.Items))
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/token")
		})
	}
}

// BenchmarkIdleConnection measures the memory that both sides of an idle connection hold.
func BenchmarkIdleConnection(b *testing.B) {
	const connections = 500
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		conns := make([]*Conn, connections)
		for i := range conns {
			conns[i] = connect(b, make(chunkReceiver, 1))
		}
		time.Sleep(100 * time.Millisecond)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapInuse-before.HeapInuse+after.StackInuse-before.StackInuse)/connections, "B/link")
		for _, c := range conns {
			c.Close()
		}
	}
}
