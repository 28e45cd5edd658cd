package membership

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/config"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/proto/peerpb"
	"github.com/cornelyard/cornelyard/settings"
	"github.com/cornelyard/cornelyard/storage"
	"github.com/cornelyard/cornelyard/timeline"
)

// patience bounds every wait of a test.
const patience = 20 * time.Second

// outlet is a Sender that keeps the heartbeats to each host.
type outlet struct {
	connected []ident.Host

	mu   sync.Mutex
	sent map[ident.Host][]*peerpb.Heartbeat
}

func (o *outlet) Send(to ident.Host, f *peerpb.Frame) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sent[to] = append(o.sent[to], f.GetHeartbeat())
	return nil
}

func (o *outlet) Connected() []ident.Host { return o.connected }

func (o *outlet) to(host ident.Host) []*peerpb.Heartbeat {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.sent[host]
}

// anyTo tells whether a heartbeat to the host meets the condition.
func (o *outlet) anyTo(host ident.Host, condition func(*peerpb.Heartbeat) bool) bool {
	for _, h := range o.to(host) {
		if condition(h) {
			return true
		}
	}
	return false
}

// fixedList is a HostList.
type fixedList struct {
	hosts []storage.HostEntry
	err   error
}

func (l fixedList) Hosts(context.Context) ([]storage.HostEntry, error) { return l.hosts, l.err }

const (
	// hurried makes heartbeats follow each other quickly.
	hurried = 50 * time.Millisecond
	// unhurried is an interval whose absence proves nothing in a test's time.
	unhurried = patience
)

func startTracker(t *testing.T, heartbeat time.Duration, list storage.HostList, connected ...ident.Host) (*Tracker, *outlet) {
	t.Helper()
	tracker := NewTracker(Options{
		Self:             member("a", "dc1", 7),
		HostList:         list,
		HostListInterval: 10 * time.Millisecond,
		Timing:           config.Timing{Heartbeat: settings.Duration(heartbeat)},
		Recorder:         timeline.NewRing(timeline.RingOptions{Host: "a"}),
	})
	out := &outlet{connected: connected, sent: make(map[ident.Host][]*peerpb.Heartbeat)}
	tracker.SetSender(out)
	return tracker, out
}

func run(t *testing.T, tracker *Tracker) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- tracker.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(patience); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting: %s", what)
		}
	}
}

func greet(tracker *Tracker, m Member) {
	tracker.HandleHello(m.Host, &peerpb.Hello{Self: m.ToProto()})
	tracker.SessionUp(m.Host)
}

func TestTrackerSendsWhatEachHostNeeds(t *testing.T) {
	tracker, out := startTracker(t, hurried, nil, "b", "x")
	run(t, tracker)
	greet(tracker, member("b", "dc1", 1))
	greet(tracker, member("x", "dc2", 1))
	waitFor(t, "a member list to the other data centre", func() bool {
		return out.anyTo("x", func(h *peerpb.Heartbeat) bool { return len(h.GetMembers()) > 0 })
	})
	tracker.SetSettingsVersion(9)
	tracker.SetLeaving()
	waitFor(t, "leaving and the version", func() bool {
		return out.anyTo("b", func(h *peerpb.Heartbeat) bool {
			return h.GetLeaving() && h.GetSettingsVersion() == 9 && h.GetIncarnation() == 7
		})
	})
	waitFor(t, "the own view to follow", func() bool {
		self := tracker.View().Self
		return self.Leaving && self.SettingsVersion == 9
	})
	waitFor(t, "a heartbeat without a member list", func() bool {
		sent := out.to("b")
		return len(sent[len(sent)-1].GetMembers()) == 0
	})
}

func TestTrackerLearns(t *testing.T) {
	tracker, _ := startTracker(t, unhurried, nil)
	var newest atomic.Uint64
	tracker.OnSettingsVersion(newest.Store)
	changed := tracker.Changed()
	run(t, tracker)
	greet(tracker, member("b", "dc1", 1))
	<-changed
	tracker.HandleFrame("b", &peerpb.Frame{Body: &peerpb.Frame_Heartbeat{Heartbeat: &peerpb.Heartbeat{
		Incarnation: 1, SettingsVersion: 5, Members: []*peerpb.Member{member("c", "dc1", 1).ToProto()},
	}}})
	waitFor(t, "the settings version", func() bool { return newest.Load() == 5 })
	waitFor(t, "the member's version", func() bool {
		m, _ := tracker.View().Member("b")
		return m.SettingsVersion == 5
	})
	if _, ok := tracker.View().Member("c"); !ok {
		t.Error("c, listed by b, is unknown")
	}
	tracker.DialRefused("b")
	tracker.DialRefused("b")
	waitFor(t, "b is dead", func() bool {
		m, _ := tracker.View().Member("b")
		return m.State == Dead
	})
	events := tracker.options.Recorder.(*timeline.Ring).Events(timeline.Timestamp{}, "", 0)
	if len(events) != 2 || events[0].Kind != timeline.MemberJoined || events[1].Kind != timeline.MemberLost {
		t.Errorf("events are %v", events)
	}
}

func TestTrackerReadsTheHostList(t *testing.T) {
	hosts := []storage.HostEntry{{Name: "b", Role: storage.RoleEntry, DataCentre: "dc1", Address: "b:1"}}
	tracker, _ := startTracker(t, unhurried, fixedList{hosts: hosts})
	run(t, tracker)
	waitFor(t, "b is known", func() bool {
		m, ok := tracker.View().Member("b")
		return ok && m.PeerAddress == "b:1"
	})
}

func TestTrackerWithoutPlatform(t *testing.T) {
	tracker, _ := startTracker(t, unhurried, fixedList{err: errors.New("outage")})
	run(t, tracker)
	greet(tracker, member("b", "dc1", 1))
	waitFor(t, "b is alive", func() bool {
		m, _ := tracker.View().Member("b")
		return m.State == Alive
	})
}

func TestPauseIsSeenBeforeWaitingInputs(t *testing.T) {
	tracker, _ := startTracker(t, hurried, nil)
	start := time.Now()
	tracker.tick(start)
	woke := start.Add(time.Minute)
	b := member("b", "dc1", 1)
	tracker.take(helloInput{hello: &peerpb.Hello{Self: b.ToProto()}}, woke)
	tracker.publish()
	if !tracker.View().Stale {
		t.Error("an input was taken on a view from before the pause")
	}
}
