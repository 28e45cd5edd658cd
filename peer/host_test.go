package peer_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/cornelyard/cornelyard/config"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/loopback"
	"github.com/cornelyard/cornelyard/internal/proto/peerpb"
	"github.com/cornelyard/cornelyard/membership"
	"github.com/cornelyard/cornelyard/peer"
	"github.com/cornelyard/cornelyard/settings"
	"github.com/cornelyard/cornelyard/timeline"
)

// patience bounds every wait of a test.
const waitTimeout = 20 * time.Second

const (
	// hurried keeps the tests short.
	testHeartbeat = 250 * time.Millisecond
	// unhurried is an interval whose absence proves nothing in a test's time.
	longHeartbeat = waitTimeout
)

// happening is one call of the handler.
type handlerCall struct {
	kind string
	host ident.Host
	id   string
}

// journal is a Handler that keeps what it got.
type callRecorder struct {
	mu    sync.Mutex
	calls []handlerCall
	// hold is the id of a frame whose handling lasts until held is closed.
	blockedID string
	unblock   chan struct{}
}

// holdAt makes the handling of the numbered frame last until release is called.
func (r *callRecorder) blockFrame(i int) (unblock func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blockedID, r.unblock = fmt.Sprint(i), make(chan struct{})
	return sync.OnceFunc(func() { close(r.unblock) })
}

// holding tells whether the frame is being handled.
func (r *callRecorder) isBlocking() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.blockedID == ""
}

func (r *callRecorder) waitIfBlocked(id string) {
	r.mu.Lock()
	blocked := r.unblock != nil && r.blockedID == id
	if blocked {
		r.blockedID = ""
	}
	r.mu.Unlock()
	if blocked {
		<-r.unblock
	}
}

func (r *callRecorder) add(call handlerCall) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, call)
}

func (r *callRecorder) HandleFrame(from ident.Host, f *peerpb.Frame) {
	if c := f.GetCancel(); c != nil {
		r.waitIfBlocked(c.GetId())
		r.add(handlerCall{kind: "frame", host: from, id: c.GetId()})
	}
}
func (r *callRecorder) SessionUp(host ident.Host)   { r.add(handlerCall{kind: "up", host: host}) }
func (r *callRecorder) SessionDown(host ident.Host) { r.add(handlerCall{kind: "down", host: host}) }

func (r *callRecorder) callsFrom(host ident.Host) []handlerCall {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(r.calls), func(call handlerCall) bool { return call.host != host })
}

func (r *callRecorder) count(kind string, host ident.Host) int {
	n := 0
	for _, call := range r.callsFrom(host) {
		if call.kind == kind {
			n++
		}
	}
	return n
}

// node is one host in the test's process.
type testHost struct {
	tracker  *membership.Tracker
	mesh     *peer.Mesh
	recorder *callRecorder
	stop     func()
}

type hostOptions struct {
	host       ident.Host
	dataCentre ident.DataCentre
	address    string
	seeds      []string
	key        byte
	moreKeys   []byte
	setUp      func(*peer.Mesh)
	scope      tally.Scope
	heartbeat  time.Duration
}

// startNode runs a host until the test ends or stop is called.
func startHost(t *testing.T, o hostOptions) *testHost {
	t.Helper()
	if o.address == "" {
		o.address = freeAddress(t)
	}
	if o.dataCentre == "" {
		o.dataCentre = "dc1"
	}
	if o.heartbeat == 0 {
		o.heartbeat = testHeartbeat
	}
	keys := []peer.Key{{0: o.key}}
	for _, k := range o.moreKeys {
		keys = append(keys, peer.Key{0: k})
	}
	h := &testHost{recorder: &callRecorder{}}
	h.tracker = membership.NewTracker(membership.Options{
		Self: membership.Member{
			Host: o.host, DataCentre: o.dataCentre, PeerAddress: o.address,
			Incarnation: membership.NewIncarnation(time.Now()),
		},
		Timing: config.Timing{Heartbeat: settings.Duration(o.heartbeat)},
	})
	mesh, err := peer.NewMesh(peer.Options{
		Listen: o.address, Keys: keys, Seeds: o.seeds, Members: h.tracker, Clock: timeline.NewClock(), Scope: o.scope,
	})
	if err != nil {
		t.Fatal(err)
	}
	h.mesh = mesh
	mesh.AddHandler(h.tracker)
	mesh.AddHandler(h.recorder)
	h.tracker.SetSender(mesh)
	if o.setUp != nil {
		o.setUp(mesh)
	}
	h.run(t)
	return h
}

func (h *testHost) run(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() {
		if err := h.tracker.Run(ctx); err != nil {
			t.Error(err)
		}
	})
	group.Go(func() {
		if err := h.mesh.Run(ctx); err != nil {
			t.Error(err)
		}
	})
	h.stop = sync.OnceFunc(func() {
		cancel()
		group.Wait()
	})
	t.Cleanup(h.stop)
	if _, err := h.mesh.Address(ctx); err != nil {
		t.Fatal(err)
	}
}

func (h *testHost) sees(host ident.Host, state membership.State) bool {
	m, ok := h.tracker.View().Member(host)
	return ok && m.State == state
}

func (h *testHost) connected(host ident.Host) bool {
	return slices.Contains(h.mesh.Connected(), host)
}

// freeAddress returns an address that nobody listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := loopback.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

func waitFor(t *testing.T, description string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting: %s", description)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// numbered returns a frame that the journal recognizes.
func numberedFrame(i int) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_Cancel{Cancel: &peerpb.Cancel{Id: fmt.Sprint(i)}}}
}
