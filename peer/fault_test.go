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

func (n *node) address() string { return n.tracker.View().Self.PeerAddress }

func TestKeys(t *testing.T) {
	for _, c := range []struct {
		name           string
		dialler        []byte
		listener       []byte
		wantConnection bool
	}{
		{"the same key", []byte{1}, []byte{1}, true},
		{"rotation, the new key accepted first by the listener", []byte{1}, []byte{1, 2}, true},
		{"rotation, the new key accepted first by the dialler", []byte{1, 2}, []byte{1}, true},
		{"rotation, the new key presented by one", []byte{2, 1}, []byte{1, 2}, true},
		{"rotation, the old key gone from one", []byte{2, 1}, []byte{2}, true},
		{"another key", []byte{2}, []byte{1}, false},
		{"a key that only the dialler accepts", []byte{2, 1}, []byte{1}, false},
		{"a key that only the listener accepts", []byte{1}, []byte{2, 1}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			scope := tally.NewTestScope("", nil)
			listener := startNode(t, nodeOptions{host: "b", key: c.listener[0], moreKeys: c.listener[1:], scope: scope})
			dialler := startNode(t, nodeOptions{
				host: "a", key: c.dialler[0], moreKeys: c.dialler[1:], seeds: []string{listener.address()},
			})
			if c.wantConnection {
				waitFor(t, "a session", func() bool { return listener.connected("a") && dialler.connected("b") })
				return
			}
			waitFor(t, "three failed handshakes", func() bool { return failures(scope, "accepted") >= 3 })
			if listener.connected("a") || dialler.connected("b") || len(listener.tracker.View().Members) != 1 {
				t.Error("a wrong key got in")
			}
			if err := dialler.mesh.Send("b", numbered(1)); !errors.Is(err, peer.ErrNoSession) {
				t.Errorf("sending over no session: %v", err)
			}
		})
	}
}

func failures(scope tally.TestScope, side string) int64 {
	return counter(scope, "peer_handshakes_failed", side)
}

func counter(scope tally.TestScope, name, reason string) int64 {
	for _, c := range scope.Snapshot().Counters() {
		if c.Name() == name && c.Tags()["reason"] == reason {
			return c.Value()
		}
	}
	return 0
}

func TestGarbageOnTheListenerHarmsNobody(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	a := startNode(t, nodeOptions{host: "a", scope: scope})
	b := startNode(t, nodeOptions{host: "b", seeds: []string{a.address()}})
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
	waitFor(t, "all refused", func() bool { return failures(scope, "accepted") == int64(len(inputs)) })
	if n := a.journal.count("down", "b"); n != 0 {
		t.Errorf("%d sessions lost", n)
	}
}

func TestIdleConnectionsOnlyDelayNewHosts(t *testing.T) {
	a := startNode(t, nodeOptions{host: "a"})
	for range 100 {
		conn, err := net.Dial("tcp", a.address())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
	b := startNode(t, nodeOptions{host: "b", seeds: []string{a.address()}})
	waitFor(t, "a session", func() bool { return a.connected("b") && b.connected("a") })
}

func TestMalformedInputClosesOnlyItsSession(t *testing.T) {
	for _, c := range []struct {
		name  string
		input []byte
	}{
		{"a length over the limit", []byte{0xff, 0xff, 0xff, 0xff, 0x7f}},
		{"a length that never ends", bytes.Repeat([]byte{0xff}, 20)},
		{"not protobuf", []byte{4, 0xff, 0xff, 0xff, 0xff}},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := startNode(t, nodeOptions{host: "a", key: 1})
			b := startNode(t, nodeOptions{host: "b", key: 1, seeds: []string{a.address()}})
			waitFor(t, "a session", func() bool { return a.connected("b") && b.connected("a") })
			hostile := peer.DialRawPeer(t, a.address(), peer.Key{1}, "z")
			waitFor(t, "the hostile session", func() bool { return a.journal.count("up", "z") == 1 })
			// The end of the session may overtake the end of the write.
			_, _ = hostile.Stream.Write(c.input)
			waitFor(t, "the end of it", func() bool { return a.journal.count("down", "z") == 1 })
			if n := a.journal.count("down", "b"); n != 0 {
				t.Errorf("%d other sessions lost", n)
			}
		})
	}
}

func TestHostThatReadsNothingIsCutOff(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	a := startNode(t, nodeOptions{host: "a", key: 1, scope: scope, heartbeat: unhurried})
	peer.DialRawPeer(t, a.address(), peer.Key{1}, "z")
	waitFor(t, "the session", func() bool { return a.connected("z") })
	large := &peerpb.Frame{Body: &peerpb.Frame_Cancel{Cancel: &peerpb.Cancel{Id: string(make([]byte, 1<<20))}}}
	var err error
	for range 100 {
		if err = a.mesh.Send("z", large); err != nil {
			break
		}
	}
	// A heartbeat may be the frame that finds the queue full.
	if !errors.Is(err, peer.ErrBacklogFull) && !errors.Is(err, peer.ErrNoSession) {
		t.Errorf("got %v, want a full backlog or no session", err)
	}
	waitFor(t, "the end of the session", func() bool { return a.journal.count("down", "z") == 1 })
	if got := counter(scope, "peer_backlogs", ""); got != 1 {
		t.Errorf("%d sessions closed for their backlog, want 1", got)
	}
}

func TestSessionLoss(t *testing.T) {
	a := startNode(t, nodeOptions{host: "a"})
	relay := startRelay(t, a.address())
	b := startNode(t, nodeOptions{host: "b", seeds: []string{relay.address}})
	waitFor(t, "a session", func() bool { return a.connected("b") && b.connected("a") })
	sent := 0
	send := func(n int) {
		for range n {
			_ = b.mesh.Send("a", numbered(sent))
			sent++
		}
	}
	send(500)
	relay.cut()
	send(500)
	waitFor(t, "a new session", func() bool {
		return a.journal.count("up", "b") >= 2 && a.connected("b") && b.connected("a")
	})
	send(500)
	last := strconv.Itoa(sent - 1)
	waitFor(t, "the last frame", func() bool {
		all := a.journal.from("b")
		return all[len(all)-1].id == last
	})
	checkAccount(t, a.journal.from("b"))
}

// checkAccount checks that ups and downs alternate, that frames come only in
// between, and that their numbers grow by one from frame to frame.
func checkAccount(t *testing.T, account []happening) {
	t.Helper()
	open, previous := false, -1
	for i, h := range account {
		switch h.what {
		case "up", "down":
			if open == (h.what == "up") {
				t.Fatalf("%s twice, at %d", h.what, i)
			}
			open = h.what == "up"
			previous = -1
		case "frame":
			id, _ := strconv.Atoi(h.id)
			if !open || previous >= 0 && id != previous+1 {
				t.Fatalf("frame %d after %d, session open: %v", id, previous, open)
			}
			previous = id
		}
	}
}

// TestNewSessionWaitsForTheEndOfTheOldOne keeps a handler busy while its session
// is replaced.
func TestNewSessionWaitsForTheEndOfTheOldOne(t *testing.T) {
	a := startNode(t, nodeOptions{host: "a"})
	relay := startRelay(t, a.address())
	b := startNode(t, nodeOptions{host: "b", seeds: []string{relay.address}})
	waitFor(t, "a session", func() bool { return a.connected("b") && b.connected("a") })
	release := a.journal.holdAt(0)
	const frames = 100
	sendAll := func() {
		for i := range frames {
			if err := b.mesh.Send("a", numbered(i)); err != nil {
				t.Fatal(err)
			}
		}
	}
	sendAll()
	waitFor(t, "the held frame", a.journal.holding)
	relay.cut()
	waitFor(t, "a new session", func() bool { return b.journal.count("up", "a") >= 2 && a.connected("b") })
	sendAll()
	release()
	waitFor(t, "the new session's frames", func() bool {
		all := a.journal.from("b")
		return a.journal.count("up", "b") >= 2 && all[len(all)-1].id == strconv.Itoa(frames-1)
	})
	checkAccount(t, a.journal.from("b"))
}

func TestRestartedHost(t *testing.T) {
	a := startNode(t, nodeOptions{host: "a"})
	first := nodeOptions{host: "b", address: freeAddress(t), seeds: []string{a.address()}}
	b := startNode(t, first)
	waitFor(t, "a session", func() bool { return a.connected("b") && b.connected("a") })
	before, _ := a.tracker.View().Member("b")
	b.stop()
	b = startNode(t, first)
	waitFor(t, "a new session", func() bool { return a.journal.count("up", "b") >= 2 && b.connected("a") })
	waitFor(t, "the new process is alive", func() bool {
		m, _ := a.tracker.View().Member("b")
		return m.State == membership.Alive && m.Incarnation > before.Incarnation
	})
	checkAccount(t, a.journal.from("b"))
}

func TestStoppedHostIsDeadAtOnce(t *testing.T) {
	a := startNode(t, nodeOptions{host: "a", heartbeat: unhurried})
	b := startNode(t, nodeOptions{host: "b", seeds: []string{a.address()}, heartbeat: unhurried})
	waitFor(t, "a session", func() bool { return a.connected("b") && b.connected("a") })
	b.stop()
	// Its silence alone would take four heartbeats, which is more than the
	// test's patience.
	waitFor(t, "b is dead", func() bool { return a.sees("b", membership.Dead) })
}

func TestBothSidesDialAtOnce(t *testing.T) {
	hosts := []ident.Host{"a", "b", "c", "d", "e"}
	addresses := make([]string, len(hosts))
	for i := range hosts {
		addresses[i] = freeAddress(t)
	}
	nodes := make([]*node, len(hosts))
	for i, h := range hosts {
		nodes[i] = startNode(t, nodeOptions{host: h, address: addresses[i], seeds: addresses})
	}
	const frames = 50
	for i, n := range nodes {
		for j, other := range hosts {
			if i == j {
				continue
			}
			waitFor(t, fmt.Sprintf("%s and %s are connected", hosts[i], other), func() bool {
				return n.connected(other) && nodes[j].connected(hosts[i])
			})
		}
	}
	for i, n := range nodes {
		for j, other := range hosts {
			if i == j {
				continue
			}
			for f := range frames {
				if err := n.mesh.Send(other, numbered(f)); err != nil {
					t.Fatalf("%s to %s: %v", hosts[i], other, err)
				}
			}
			waitFor(t, "all frames", func() bool { return nodes[j].journal.count("frame", hosts[i]) == frames })
			checkAccount(t, nodes[j].journal.from(hosts[i]))
		}
	}
}

func TestSendDialsOnDemand(t *testing.T) {
	a := startNode(t, nodeOptions{host: "a", dataCentre: "dc1"})
	remote := []ident.Host{"w", "x", "y", "z"}
	nodes := make(map[ident.Host]*node)
	for _, h := range remote {
		nodes[h] = startNode(t, nodeOptions{host: h, dataCentre: "dc2", seeds: []string{a.address()}})
	}
	for _, h := range remote {
		waitFor(t, fmt.Sprintf("a knows %s", h), func() bool { return a.sees(h, membership.Alive) })
	}
	for _, h := range remote {
		waitFor(t, fmt.Sprintf("a frame reaches %s", h), func() bool {
			_ = a.mesh.Send(h, numbered(0))
			return nodes[h].journal.count("frame", "a") > 0
		})
	}
	if err := a.mesh.Send("nobody", numbered(0)); !errors.Is(err, peer.ErrNoSession) {
		t.Errorf("sending to an unknown host: %v", err)
	}
}

func TestAddressInUse(t *testing.T) {
	a := startNode(t, nodeOptions{host: "a"})
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
