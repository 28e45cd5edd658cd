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

// waitTimeout limits every wait of a test.
const waitTimeout = 20 * time.Second

const (
	// testHeartbeat is a short interval that keeps the tests fast.
	testHeartbeat = 250 * time.Millisecond
	// longHeartbeat is so long that no heartbeat is missed within a test.
	longHeartbeat = waitTimeout
)

// handlerCall is one call of the Handler.
type handlerCall struct {
	kind string
	host ident.Host
	id   string
}

// callRecorder is a Handler that records its calls.
type callRecorder struct {
	mu    sync.Mutex
	calls []handlerCall
	// blockedID is the id of a frame whose handling blocks until unblock is closed. It
	// is cleared when the handling starts.
	blockedID string
	unblock   chan struct{}
}

// blockFrame blocks the handling of the numbered frame until unblock is called.
func (r *callRecorder) blockFrame(i int) (unblock func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blockedID, r.unblock = fmt.Sprint(i), make(chan struct{})
	return sync.OnceFunc(func() { close(r.unblock) })
}

// isBlocking reports whether the handling of the frame has started.
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

// testHost is a host in the process of the test.
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

// startHost runs a host until the test ends or stop is called.
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

// freeAddress returns an address that no process listens on.
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

// numberedFrame returns a frame that callRecorder records under its number.
func numberedFrame(i int) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_Cancel{Cancel: &peerpb.Cancel{Id: fmt.Sprint(i)}}}
}
