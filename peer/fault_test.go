package peer_test

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"testing"

	"github.com/uber-go/tally/v4"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/proto/peerpb"
	"github.com/cornelyard/cornelyard/membership"
	"github.com/cornelyard/cornelyard/peer"
)

func (h *testHost) address() string { return h.tracker.View().Self.PeerAddress }

func TestPeerKeys(t *testing.T) {
	for _, c := range []struct {
		name           string
		dialler        []byte
		listener       []byte
		wantConnection bool
	}{
		{"same key", []byte{1}, []byte{1}, true},
		{"rotation, the new key accepted first by the listener", []byte{1}, []byte{1, 2}, true},
		{"rotation, the new key accepted first by the dialler", []byte{1, 2}, []byte{1}, true},
		{"rotation, the new key presented by one", []byte{2, 1}, []byte{1, 2}, true},
		{"rotation, the old key removed from one", []byte{2, 1}, []byte{2}, true},
		{"different keys", []byte{2}, []byte{1}, false},
		{"key accepted only by the dialler", []byte{2, 1}, []byte{1}, false},
		{"key accepted only by the listener", []byte{1}, []byte{2, 1}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			scope := tally.NewTestScope("", nil)
			listener := startHost(t, hostOptions{host: "b", key: c.listener[0], moreKeys: c.listener[1:], scope: scope})
			dialler := startHost(t, hostOptions{
				host: "a", key: c.dialler[0], moreKeys: c.dialler[1:], seeds: []string{listener.address()},
			})
			if c.wantConnection {
				waitFor(t, "a session", func() bool { return listener.connected("a") && dialler.connected("b") })
				return
			}
			waitFor(t, "three failed handshakes", func() bool { return failedHandshakes(scope, "accepted") >= 3 })
			if listener.connected("a") || dialler.connected("b") || len(listener.tracker.View().Members) != 1 {
				t.Error("a session was opened with a wrong key")
			}
			if err := dialler.mesh.Send("b", numberedFrame(1)); !errors.Is(err, peer.ErrNoSession) {
				t.Errorf("sending without a session: got %v, want no session", err)
			}
		})
	}
}

func failedHandshakes(scope tally.TestScope, side string) int64 {
	return counterValue(scope, "peer_handshakes_failed", side)
}

func counterValue(scope tally.TestScope, name, reason string) int64 {
	for _, c := range scope.Snapshot().Counters() {
		if c.Name() == name && c.Tags()["reason"] == reason {
			return c.Value()
		}
	}
	return 0
}

func TestGarbageInputLeavesSessionsOpen(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	a := startHost(t, hostOptions{host: "a", scope: scope})
	b := startHost(t, hostOptions{host: "b", seeds: []string{a.address()}})
	waitFor(t, "a session", func() bool { return a.connected("b") && b.connected("a") })
	random := make([]byte, 64<<10)
	source := rand.NewChaCha8([32]byte{})
	_, _ = source.Read(random)
	inputs := [][]byte{
		[]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
		{0x16, 0x03, 0x01, 0xff, 0xff, 0x01},
		bytes.Repeat([]byte{0}, 1<<20),
		random,
		nil,
	}
	for _, input := range inputs {
		conn, err := net.Dial("tcp", a.address())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = conn.Write(input)
		_ = conn.Close()
	}
	waitFor(t, "all connections to be rejected", func() bool { return failedHandshakes(scope, "accepted") == int64(len(inputs)) })
	if n := a.recorder.count("down", "b"); n != 0 {
		t.Errorf("%d sessions ended, want 0", n)
	}
}

func TestIdleConnectionsOnlyDelayNewHosts(t *testing.T) {
	a := startHost(t, hostOptions{host: "a"})
	for range 100 {
		conn, err := net.Dial("tcp", a.address())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
	b := startHost(t, hostOptions{host: "b", seeds: []string{a.address()}})
	waitFor(t, "a session", func() bool { return a.connected("b") && b.connected("a") })
}

func TestMalformedInputClosesOnlyItsSession(t *testing.T) {
	for _, c := range []struct {
		name  string
		input []byte
	}{
		{"length above the limit", []byte{0xff, 0xff, 0xff, 0xff, 0x7f}},
		{"unterminated length", bytes.Repeat([]byte{0xff}, 20)},
		{"not protobuf", []byte{4, 0xff, 0xff, 0xff, 0xff}},
		{"frame 3 after frame 1", []byte{3, 0x98, 0x01, 1, 3, 0x98, 0x01, 3}},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := startHost(t, hostOptions{host: "a", key: 1})
			b := startHost(t, hostOptions{host: "b", key: 1, seeds: []string{a.address()}})
			waitFor(t, "a session", func() bool { return a.connected("b") && b.connected("a") })
			rawPeer := peer.DialRawPeer(t, a.address(), peer.Key{1}, "z")
			waitFor(t, "the raw peer's session", func() bool { return a.recorder.count("up", "z") == 1 })
			// The session may end before the write returns, so the write may fail.
			_, _ = rawPeer.Stream.Write(c.input)
			waitFor(t, "the end of the raw peer's session", func() bool { return a.recorder.count("down", "z") == 1 })
			if n := a.recorder.count("down", "b"); n != 0 {
				t.Errorf("%d other sessions ended, want 0", n)
			}
		})
	}
}

func TestHostThatReadsNothingIsDisconnected(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	a := startHost(t, hostOptions{host: "a", key: 1, scope: scope, heartbeat: longHeartbeat})
	peer.DialRawPeer(t, a.address(), peer.Key{1}, "z")
	waitFor(t, "the session", func() bool { return a.connected("z") })
	large := &peerpb.Frame{Body: &peerpb.Frame_Cancel{Cancel: &peerpb.Cancel{Id: string(make([]byte, 1<<20))}}}
	var err error
	for range 100 {
		if err = a.mesh.Send("z", large); err != nil {
			break
		}
	}
	// If the queue is full when a heartbeat is sent, the session is already closed here.
	if !errors.Is(err, peer.ErrBacklogFull) && !errors.Is(err, peer.ErrNoSession) {
		t.Errorf("got %v, want a full backlog or no session", err)
	}
	waitFor(t, "the end of the session", func() bool { return a.recorder.count("down", "z") == 1 })
	if got := counterValue(scope, "peer_backlogs", ""); got != 1 {
		t.Errorf("%d sessions closed because of a full backlog, want 1", got)
	}
}

func TestSessionLoss(t *testing.T) {
	a := startHost(t, hostOptions{host: "a"})
	relay := startRelay(t, a.address())
	b := startHost(t, hostOptions{host: "b", seeds: []string{relay.address}})
	waitFor(t, "a session", func() bool { return a.connected("b") && b.connected("a") })
	sent := 0
	send := func(n int) {
		for range n {
			_ = b.mesh.Send("a", numberedFrame(sent))
			sent++
		}
	}
	send(500)
	relay.closeConnections()
	send(500)
	waitFor(t, "a new session", func() bool {
		return a.recorder.count("up", "b") >= 2 && a.connected("b") && b.connected("a")
	})
	send(500)
	last := strconv.Itoa(sent - 1)
	waitFor(t, "the last frame", func() bool {
		all := a.recorder.callsFrom("b")
		return all[len(all)-1].id == last
	})
	checkHandlerCalls(t, a.recorder.callsFrom("b"))
}

// checkHandlerCalls checks that SessionUp and SessionDown alternate, that frames
// arrive only while the session is up, and that their numbers increase by one within a
// session.
func checkHandlerCalls(t *testing.T, calls []handlerCall) {
	t.Helper()
	open, previous := false, -1
	for i, call := range calls {
		switch call.kind {
		case "up", "down":
			if open == (call.kind == "up") {
				t.Fatalf("%s twice, at %d", call.kind, i)
			}
			open = call.kind == "up"
			previous = -1
		case "frame":
			id, _ := strconv.Atoi(call.id)
			if !open || previous >= 0 && id != previous+1 {
				t.Fatalf("frame %d after %d, session open: %v", id, previous, open)
			}
			previous = id
		}
	}
}

// TestNewSessionWaitsForOldSessionEnd blocks a handler while its session is replaced.
func TestNewSessionWaitsForOldSessionEnd(t *testing.T) {
	a := startHost(t, hostOptions{host: "a"})
	relay := startRelay(t, a.address())
	b := startHost(t, hostOptions{host: "b", seeds: []string{relay.address}})
	waitFor(t, "a session", func() bool { return a.connected("b") && b.connected("a") })
	unblock := a.recorder.blockFrame(0)
	const frames = 100
	sendAll := func() {
		for i := range frames {
			if err := b.mesh.Send("a", numberedFrame(i)); err != nil {
				t.Fatal(err)
			}
		}
	}
	sendAll()
	waitFor(t, "the blocked frame", a.recorder.isBlocking)
	relay.closeConnections()
	waitFor(t, "a new session", func() bool { return b.recorder.count("up", "a") >= 2 && a.connected("b") })
	sendAll()
	unblock()
	waitFor(t, "the new session's frames", func() bool {
		all := a.recorder.callsFrom("b")
		return a.recorder.count("up", "b") >= 2 && all[len(all)-1].id == strconv.Itoa(frames-1)
	})
	checkHandlerCalls(t, a.recorder.callsFrom("b"))
}

func TestRestartedHost(t *testing.T) {
	a := startHost(t, hostOptions{host: "a"})
	first := hostOptions{host: "b", address: freeAddress(t), seeds: []string{a.address()}}
	b := startHost(t, first)
	waitFor(t, "a session", func() bool { return a.connected("b") && b.connected("a") })
	before, _ := a.tracker.View().Member("b")
	b.stop()
	b = startHost(t, first)
	waitFor(t, "a new session", func() bool { return a.recorder.count("up", "b") >= 2 && b.connected("a") })
	waitFor(t, "the new process is alive", func() bool {
		m, _ := a.tracker.View().Member("b")
		return m.State == membership.Alive && m.Incarnation > before.Incarnation
	})
	checkHandlerCalls(t, a.recorder.callsFrom("b"))
}

func TestStoppedHostIsDeclaredDeadAtOnce(t *testing.T) {
	a := startHost(t, hostOptions{host: "a", heartbeat: longHeartbeat})
	b := startHost(t, hostOptions{host: "b", seeds: []string{a.address()}, heartbeat: longHeartbeat})
	waitFor(t, "a session", func() bool { return a.connected("b") && b.connected("a") })
	b.stop()
	// Missing heartbeats alone would take four intervals, longer than waitTimeout.
	waitFor(t, "b is dead", func() bool { return a.sees("b", membership.Dead) })
}

func TestSimultaneousDials(t *testing.T) {
	names := []ident.Host{"a", "b", "c", "d", "e"}
	addresses := make([]string, len(names))
	for i := range names {
		addresses[i] = freeAddress(t)
	}
	hosts := make([]*testHost, len(names))
	for i, name := range names {
		hosts[i] = startHost(t, hostOptions{host: name, address: addresses[i], seeds: addresses})
	}
	const frames = 50
	for i, sender := range hosts {
		for j, receiver := range names {
			if i == j {
				continue
			}
			waitFor(t, fmt.Sprintf("%s and %s are connected", names[i], receiver), func() bool {
				return sender.connected(receiver) && hosts[j].connected(names[i])
			})
		}
	}
	for i, sender := range hosts {
		for j, receiver := range names {
			if i == j {
				continue
			}
			for f := range frames {
				if err := sender.mesh.Send(receiver, numberedFrame(f)); err != nil {
					t.Fatalf("%s to %s: %v", names[i], receiver, err)
				}
			}
			waitFor(t, "all frames", func() bool { return hosts[j].recorder.count("frame", names[i]) == frames })
			checkHandlerCalls(t, hosts[j].recorder.callsFrom(names[i]))
		}
	}
}

func TestSendDialsOnDemand(t *testing.T) {
	a := startHost(t, hostOptions{host: "a", dataCentre: "dc1"})
	remoteNames := []ident.Host{"w", "x", "y", "z"}
	hosts := make(map[ident.Host]*testHost)
	for _, name := range remoteNames {
		hosts[name] = startHost(t, hostOptions{host: name, dataCentre: "dc2", seeds: []string{a.address()}})
	}
	for _, name := range remoteNames {
		waitFor(t, fmt.Sprintf("a sees %s alive", name), func() bool { return a.sees(name, membership.Alive) })
	}
	for _, name := range remoteNames {
		waitFor(t, fmt.Sprintf("a frame reaches %s", name), func() bool {
			_ = a.mesh.Send(name, numberedFrame(0))
			return hosts[name].recorder.count("frame", "a") > 0
		})
	}
	if err := a.mesh.Send("nobody", numberedFrame(0)); !errors.Is(err, peer.ErrNoSession) {
		t.Errorf("sending to an unknown host: got %v, want no session", err)
	}
}

func TestAddressInUse(t *testing.T) {
	a := startHost(t, hostOptions{host: "a"})
	mesh, err := peer.NewMesh(peer.Options{Listen: a.address(), Keys: []peer.Key{{1}}, Members: a.tracker})
	if err != nil {
		t.Fatal(err)
	}
	if err := mesh.Run(t.Context()); err == nil {
		t.Error("no error for an address in use")
	}
	if _, err := peer.NewMesh(peer.Options{Listen: a.address(), Members: a.tracker}); err == nil {
		t.Error("no error without a key")
	}
}

func TestParseKey(t *testing.T) {
	for _, c := range []struct {
		name, text string
		ok         bool
	}{
		{"64 digits", "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff", true},
		{"too short", "0011", false},
		{"not hexadecimal", "zz112233445566778899aabbccddeeff00112233445566778899aabbccddeeff", false},
		{"empty", "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, err := peer.ParseKey(c.text); (err == nil) != c.ok {
				t.Errorf("error %v, want success %v", err, c.ok)
			}
		})
	}
}
