package peer_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/membership"
	"github.com/cornelyard/cornelyard/peer"
)

func TestHostsDiscoverEachOtherThroughOneSeed(t *testing.T) {
	first := startHost(t, hostOptions{host: "a", address: freeAddress(t)})
	seeds := []string{first.tracker.View().Self.PeerAddress}
	hosts := map[ident.Host]*testHost{"a": first}
	for _, name := range []ident.Host{"b", "c", "d"} {
		hosts[name] = startHost(t, hostOptions{host: name, seeds: seeds})
	}
	for name, host := range hosts {
		for other := range hosts {
			if other == name {
				continue
			}
			waitFor(t, fmt.Sprintf("%s sees %s", name, other), func() bool {
				return host.connected(other) && host.sees(other, membership.Alive)
			})
		}
	}
}

func TestFramesArriveInOrder(t *testing.T) {
	a := startHost(t, hostOptions{host: "a"})
	b := startHost(t, hostOptions{host: "b", seeds: []string{a.tracker.View().Self.PeerAddress}})
	waitFor(t, "a and b are connected", func() bool { return a.connected("b") && b.connected("a") })
	const frames = 2000
	for _, direction := range []struct {
		from, to    *testHost
		name        ident.Host
		destination ident.Host
	}{{a, b, "a", "b"}, {b, a, "b", "a"}, {a, a, "a", "a"}} {
		t.Run(string(direction.name)+" to "+string(direction.destination), func(t *testing.T) {
			for i := range frames {
				if err := direction.from.mesh.Send(direction.destination, numberedFrame(i)); err != nil {
					t.Fatal(err)
				}
			}
			waitFor(t, "all frames", func() bool { return direction.to.recorder.count("frame", direction.name) == frames })
			next := 0
			for _, call := range direction.to.recorder.callsFrom(direction.name) {
				if call.kind != "frame" {
					continue
				}
				if call.id != fmt.Sprint(next) {
					t.Fatalf("got frame %s, want %d", call.id, next)
				}
				next++
			}
		})
	}
}

func TestCall(t *testing.T) {
	echo := func(m *peer.Mesh) {
		m.RegisterMethod("echo", func(_ context.Context, from ident.Host, body []byte) ([]byte, error) {
			return append([]byte(from+":"), body...), nil
		})
		m.RegisterMethod("fail", func(context.Context, ident.Host, []byte) ([]byte, error) {
			return nil, peer.Error.New("broken")
		})
	}
	a := startHost(t, hostOptions{host: "a", setUp: echo})
	b := startHost(t, hostOptions{host: "b", setUp: echo, seeds: []string{a.tracker.View().Self.PeerAddress}})
	waitFor(t, "b sees a", func() bool { return b.sees("a", membership.Alive) })
	for _, c := range []struct {
		name, method string
		to           ident.Host
		want         string
		wantErr      bool
	}{
		{name: "another host", method: "echo", to: "a", want: "b:x"},
		{name: "the own host", method: "echo", to: "b", want: "b:x"},
		{name: "a failing method", method: "fail", to: "a", wantErr: true},
		{name: "an unknown method", method: "nothing", to: "a", wantErr: true},
		{name: "an unknown host", method: "echo", to: "z", wantErr: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := b.mesh.Call(t.Context(), c.to, c.method, []byte("x"))
			if (err != nil) != c.wantErr || string(got) != c.want {
				t.Errorf("got %q, %v; want %q, error %v", got, err, c.want, c.wantErr)
			}
		})
	}
}
