package pool

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"

	"github.com/cornelyard/cornelyard/admission"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/proto/peerpb"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/peer"
)

func TestEveryEntryGetsGrants(t *testing.T) {
	s := newFakeSystem(t, testSnapshot(4), threeHosts()...)
	for _, h := range s.hosts {
		a := s.wait(h.acquire(t.Context(), testRequest("r-"+string(h.name), "filing")))
		if a.err != nil {
			t.Fatalf("entry %s: %v", h.name, a.err)
		}
		a.grant.End(admission.End{Outcome: outcome.Completed})
	}
}

func TestSlotIsFreedByDeclineAndEnd(t *testing.T) {
	s := newFakeSystem(t, testSnapshot(1), threeHosts()...)
	h := s.nonOwner()
	first := s.wait(h.acquire(t.Context(), testRequest("r1", "filing")))
	second := h.acquire(t.Context(), testRequest("r2", "filing"))
	first.grant.Decline(admission.DeclineExpired)
	granted := s.wait(second)
	third := h.acquire(t.Context(), testRequest("r3", "filing"))
	granted.grant.End(admission.End{Outcome: outcome.Completed})
	if a := s.wait(third); a.err != nil {
		t.Fatal(a.err)
	}
}

func TestQueuedRequestsSurviveOwnerFailure(t *testing.T) {
	s := newFakeSystem(t, testSnapshot(1), threeHosts()...)
	h := s.nonOwner()
	running := s.wait(h.acquire(t.Context(), testRequest("running", "filing")))
	var queued []<-chan acquired
	for i := range 5 {
		queued = append(queued, h.acquire(t.Context(), testRequest(fmt.Sprintf("q%d", i), "filing")))
	}
	s.waitUntil("five requests are queued", func() bool { return h.waiting() == 5 })
	s.kill(s.owner().name)
	next := s.owner()
	s.waitUntil("the new owner accounts for the running request", func() bool { return next.running() == 1 })
	running.grant.End(admission.End{Outcome: outcome.Completed})
	for range queued {
		a := s.firstOf(queued)
		if a.err != nil {
			t.Fatalf("%s: %v", a.id, a.err)
		}
		a.grant.End(admission.End{Outcome: outcome.Completed})
	}
}

func TestNewOwnerAdmitsNoMoreThanTheSlots(t *testing.T) {
	s := newFakeSystem(t, testSnapshot(2), threeHosts()...)
	h := s.nonOwner()
	for _, id := range []string{"r1", "r2"} {
		if a := s.wait(h.acquire(t.Context(), testRequest(id, "filing"))); a.err != nil {
			t.Fatal(a.err)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	waiting := h.acquire(ctx, testRequest("r3", "filing"))
	s.kill(s.owner().name)
	next := s.owner()
	s.waitUntil("the new owner accounts for both running requests and queues the third", func() bool {
		return next.running() == 2 && next.queued() == 1
	})
	cancel()
	if a := s.wait(waiting); !errors.Is(a.err, context.Canceled) {
		t.Fatalf("third request with both slots in use: got grant %v, want context.Canceled", a.grant)
	}
}

func TestSlotsOfADeadEntryAreFreed(t *testing.T) {
	s := newFakeSystem(t, testSnapshot(1), threeHosts()...)
	h := s.nonOwner()
	s.wait(h.acquire(t.Context(), testRequest("lost", "filing")))
	next := s.owner().acquire(t.Context(), testRequest("next", "filing"))
	s.kill(h.name)
	if a := s.wait(next); a.err != nil {
		t.Fatal(a.err)
	}
}

func TestReportRecoversFramesLostInPartition(t *testing.T) {
	s := newFakeSystem(t, testSnapshot(1), threeHosts()...)
	h, owner := s.nonOwner(), s.owner()
	running := s.wait(h.acquire(t.Context(), testRequest("running", "filing")))
	s.network.setCut(h.name, owner.name, true)
	running.grant.End(admission.End{Outcome: outcome.Completed})
	queued := h.acquire(t.Context(), testRequest("queued", "filing"))
	s.network.setCut(h.name, owner.name, false)
	if a := s.wait(queued); a.err != nil {
		t.Fatal(a.err)
	}
}

func TestSecondGrantOfARequestIsDeclined(t *testing.T) {
	s := newFakeSystem(t, testSnapshot(1), threeHosts()...)
	h, owner := s.nonOwner(), s.owner()
	s.wait(h.acquire(t.Context(), testRequest("r1", "filing")))
	h.client.HandleFrame(owner.name, &peerpb.Frame{Body: &peerpb.Frame_Grant{Grant: &peerpb.Grant{
		Pool: string(testPool), Id: "r1", Target: "t0", LeaseMs: 1000,
	}}})
	s.waitUntil("the owner still accounts for the running request", func() bool {
		return owner.running() == 1
	})
}

// The entry cannot reach the owner, while its membership view still lists the
// owner as alive and no other host claims the pool.
func TestEntryFallsBackWhenOwnerIsUnreachable(t *testing.T) {
	s := newFakeSystem(t, testSnapshot(6), threeHosts()...)
	h, owner := s.nonOwner(), s.owner()
	s.network.setCut(h.name, owner.name, true)
	var held []Grant
	for _, id := range []string{"r1", "r2"} {
		a := s.wait(h.acquire(t.Context(), testRequest(id, "filing")))
		if a.err != nil {
			t.Fatal(a.err)
		}
		held = append(held, a.grant)
	}
	third := h.acquire(t.Context(), testRequest("r3", "filing"))
	s.waitUntil("the third request is queued", func() bool { return h.queued() == 1 })
	s.waitUntil("this host's share, 2 of 6 slots among 3 hosts, is in use", func() bool { return h.running() == 2 })
	held[0].End(admission.End{Outcome: outcome.Completed})
	if a := s.wait(third); a.err != nil {
		t.Fatal(a.err)
	}
}

func TestFallbackEndsWhenTheOwnerIsReachedAgain(t *testing.T) {
	s := newFakeSystem(t, testSnapshot(6), threeHosts()...)
	h, owner := s.nonOwner(), s.owner()
	s.network.setCut(h.name, owner.name, true)
	first := s.wait(h.acquire(t.Context(), testRequest("r1", "filing")))
	if first.err != nil {
		t.Fatal(first.err)
	}
	s.network.setCut(h.name, owner.name, false)
	s.waitUntil("the owner accounts for the request again", func() bool { return owner.running() == 1 })
	s.waitUntil("the fallback has ended", func() bool { return len(h.manager.Statuses()) == 0 })
}

func TestRefusalReachesTheCaller(t *testing.T) {
	s := newFakeSystem(t, testSnapshot(), threeHosts()...)
	a := s.wait(s.nonOwner().acquire(t.Context(), testRequest("r1", "filing")))
	var refusal *outcome.Refusal
	if !errors.As(a.err, &refusal) {
		t.Fatalf("got %v, want a refusal", a.err)
	}
	if refusal.Reason != outcome.NoTarget || refusal.Outcome != outcome.NotRun {
		t.Fatalf("got %v", refusal)
	}
}

// waiting counts the requests of this entry that have no grant.
func (h *fakeHost) waiting() int {
	h.client.mu.Lock()
	defer h.client.mu.Unlock()
	n := 0
	for _, p := range h.client.pools {
		for _, tracked := range p.requests {
			if tracked.grant == nil {
				n++
			}
		}
	}
	return n
}

// running counts the running requests in the pools that this host schedules.
func (h *fakeHost) running() int {
	n := 0
	for _, status := range h.manager.Statuses() {
		for _, tier := range status.Snapshot.Tiers {
			n += tier.RunningRequests
		}
	}
	return n
}

// queued counts the requests that are queued in the pools that this host
// schedules.
func (h *fakeHost) queued() int {
	n := 0
	for _, status := range h.manager.Statuses() {
		for _, tier := range status.Snapshot.Tiers {
			n += tier.Queued
		}
	}
	return n
}

// firstOf returns the first result of any of the channels.
func (s *fakeSystem) firstOf(channels []<-chan acquired) acquired {
	s.t.Helper()
	var got acquired
	s.waitUntil("one of the queued requests has a result", func() bool {
		for _, c := range channels {
			select {
			case got = <-c:
				return true
			default:
			}
		}
		return false
	})
	return got
}

// reportRecorder records the reports that a host receives.
type reportRecorder struct {
	peer.Handler
	mu   sync.Mutex
	last *peerpb.Report
}

func (r *reportRecorder) HandleFrame(_ ident.Host, f *peerpb.Frame) {
	if report := f.GetReport(); report != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.last = report
	}
}

// running returns the number of running requests in the last report, or -1.
func (r *reportRecorder) running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.last == nil {
		return -1
	}
	return len(r.last.GetInService())
}

// A host that was paused asks for reports although another host is the owner.
func TestFormerOwnerDoesNotKeepRequestsThatEndElsewhere(t *testing.T) {
	s := newFakeSystem(t, testSnapshot(1), threeHosts()...)
	entry, former := s.nonOwner(), s.hosts[0]
	for _, h := range s.hosts {
		if h != entry && h != s.owner() {
			former = h
		}
	}
	recorder := &reportRecorder{}
	s.network.mu.Lock()
	s.network.hosts[former.name] = []peer.Handler{recorder}
	s.network.mu.Unlock()
	granted := s.wait(entry.acquire(t.Context(), testRequest("running", "filing")))
	request := &peerpb.ReportRequest{Pool: string(testPool), Epoch: 1}
	entry.client.HandleFrame(former.name, &peerpb.Frame{Body: &peerpb.Frame_ReportRequest{ReportRequest: request}})
	s.waitUntil("the paused host has a report", func() bool { return recorder.running() >= 0 })
	granted.grant.End(admission.End{Outcome: outcome.Completed})
	s.waitUntil("the paused host has no running request", func() bool { return recorder.running() == 0 })
	s.waitUntil("the owner has no running request", func() bool { return s.owner().running() == 0 })
}
