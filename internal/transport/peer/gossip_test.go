package peer_test

import (
	"context"
	"encoding/json"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"chervilhead/internal/coordination/gossip"
	"chervilhead/internal/protocol/wire"
	"chervilhead/internal/transport/peer"
)

// TestVersionsOnMessages guards against a process that ignores a newer document version in
// a message, and against one that cannot fetch from a process that has called it.
func TestVersionsOnMessages(t *testing.T) {
	for _, newer := range []string{"caller", "callee"} {
		t.Run(newer, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { probeAcrossVersions(t, newer) })
		})
	}
}

func probeAcrossVersions(t *testing.T, newer string) {
	log := newFleet(0, 0).log
	docs := map[string]*gossip.Store{"caller": gossip.NewStore(), "callee": gossip.NewStore()}
	for name, s := range docs {
		version := uint64(1)
		if name == newer {
			version = 2
		}
		s.PutIfNewer(gossip.Document{Kind: gossip.KindTable, Version: version, Data: []byte(`{"groups":[]}`)})
	}
	noPeers := func() []string { return nil }
	answer := peer.HandlerFunc(func(_ context.Context, c *peer.Conn, method string, params json.RawMessage) (any, error) {
		if method == wire.MethodHello {
			return wire.HelloReply{}, nil
		}
		probe, err := peer.Decode[wire.Probe](params)
		c.ObserveVersions(probe)
		return wire.ProbeReply{Versions: docs["callee"].Versions()}, err
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	callee := peer.NewDocumentGossip("callee", docs["callee"], peer.NewPool(nil, answer, nil, log), noPeers, nil, log)
	dial := func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		peer.NewConn(ctx, far, callee.WrapHandler(answer), log)
		return near, nil
	}
	pool := peer.NewPool(dial, answer, func() wire.Hello { return wire.Hello{} }, log)
	defer pool.Close()
	peer.NewDocumentGossip("caller", docs["caller"], pool, noPeers, nil, log)
	conn, err := pool.Get(ctx, "callee")
	if err != nil {
		t.Fatal(err)
	}
	var reply wire.ProbeReply
	if err := conn.Call(ctx, wire.MethodProbe, wire.Probe{Versions: docs["caller"].Versions()}, &reply); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second)
	for name, s := range docs {
		if v := s.Get(gossip.KindTable).Version; v != 2 {
			t.Errorf("%s holds version %d, want 2", name, v)
		}
	}
}

type chunkHandler struct{ peer.HandlerFunc }

func (chunkHandler) HandleChunk(wire.Chunk) {}

// TestWrapKeepsChunks guards against a wrapped handler that no longer takes chunks:
// every chunk then counts as malformed and ends its connection.
func TestWrapHandlerKeepsChunks(t *testing.T) {
	if _, ok := (&peer.DocumentGossip{}).WrapHandler(chunkHandler{}).(peer.ChunkHandler); !ok {
		t.Fatal("the wrapped handler does not implement ChunkHandler")
	}
}
