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

// testTimeout bounds every wait of a test.
const testTimeout = 20 * time.Second

// recordingSender is a Sender that records the heartbeats to each host.
type recordingSender struct {
	connected []ident.Host

	mu   sync.Mutex
	sent map[ident.Host][]*peerpb.Heartbeat
}

func (s *recordingSender) Send(to ident.Host, f *peerpb.Frame) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent[to] = append(s.sent[to], f.GetHeartbeat())
	return nil
}

func (s *recordingSender) Connected() []ident.Host { return s.connected }

func (s *recordingSender) sentTo(host ident.Host) []*peerpb.Heartbeat {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent[host]
}

// anySentTo reports whether any heartbeat sent to the host meets the condition.
func (s *recordingSender) anySentTo(host ident.Host, condition func(*peerpb.Heartbeat) bool) bool {
	for _, h := range s.sentTo(host) {
		if condition(h) {
			return true
		}
	}
	return false
}

// staticHostList is a HostList with a fixed result.
type staticHostList struct {
	hosts []storage.HostEntry
	err   error
}

func (l staticHostList) Hosts(context.Context) ([]storage.HostEntry, error) { return l.hosts, l.err }

const (
	// shortHeartbeat makes heartbeats follow each other quickly.
	shortHeartbeat = 50 * time.Millisecond
	// longHeartbeat is the bound of a test's waits, so no member times out while the
	// test runs.
	longHeartbeat = testTimeout
)

func createTracker(t *testing.T, heartbeat time.Duration, list storage.HostList, connected ...ident.Host) (*Tracker, *recordingSender) {
	t.Helper()
	tracker := NewTracker(Options{
		Self:             member("a", "dc1", 7),
		HostList:         list,
		HostListInterval: 10 * time.Millisecond,
		Timing:           config.Timing{Heartbeat: settings.Duration(heartbeat)},
		Recorder:         timeline.NewRing(timeline.RingOptions{Host: "a"}),
	})
	sender := &recordingSender{connected: connected, sent: make(map[ident.Host][]*peerpb.Heartbeat)}
	tracker.SetSender(sender)
	return tracker, sender
}

func runTracker(t *testing.T, tracker *Tracker) {
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
	for deadline := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting: %s", what)
		}
	}
}

func connect(tracker *Tracker, m Member) {
	tracker.HandleHello(m.Host, &peerpb.Hello{Self: m.ToProto()})
	tracker.SessionUp(m.Host)
}

func TestTrackerHeartbeatContents(t *testing.T) {
	tracker, sender := createTracker(t, shortHeartbeat, nil, "b", "x")
	runTracker(t, tracker)
	connect(tracker, member("b", "dc1", 1))
	connect(tracker, member("x", "dc2", 1))
	waitFor(t, "a member list to the other data centre", func() bool {
		return sender.anySentTo("x", func(h *peerpb.Heartbeat) bool { return len(h.GetMembers()) > 0 })
	})
	tracker.SetSettingsVersion(9)
	tracker.SetLeaving()
	waitFor(t, "leaving and the version", func() bool {
		return sender.anySentTo("b", func(h *peerpb.Heartbeat) bool {
			return h.GetLeaving() && h.GetSettingsVersion() == 9 && h.GetIncarnation() == 7
		})
	})
	waitFor(t, "the view of this host to be updated", func() bool {
		self := tracker.View().Self
		return self.Leaving && self.SettingsVersion == 9
	})
	waitFor(t, "a heartbeat without a member list", func() bool {
		sent := sender.sentTo("b")
		return len(sent[len(sent)-1].GetMembers()) == 0
	})
}

func TestTrackerHandlesPeerInputs(t *testing.T) {
	tracker, _ := createTracker(t, longHeartbeat, nil)
	var newest atomic.Uint64
	tracker.OnSettingsVersion(newest.Store)
	changed := tracker.Changed()
	runTracker(t, tracker)
	connect(tracker, member("b", "dc1", 1))
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
		t.Error("c, reported by b, is not in the view")
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
	tracker, _ := createTracker(t, longHeartbeat, staticHostList{hosts: hosts})
	runTracker(t, tracker)
	waitFor(t, "b is known", func() bool {
		m, ok := tracker.View().Member("b")
		return ok && m.PeerAddress == "b:1"
	})
}

func TestTrackerWithoutPlatform(t *testing.T) {
	tracker, _ := createTracker(t, longHeartbeat, staticHostList{err: errors.New("outage")})
	runTracker(t, tracker)
	connect(tracker, member("b", "dc1", 1))
	waitFor(t, "b is alive", func() bool {
		m, _ := tracker.View().Member("b")
		return m.State == Alive
	})
}

func TestPauseIsDetectedBeforeQueuedInputs(t *testing.T) {
	tracker, _ := createTracker(t, shortHeartbeat, nil)
	start := time.Now()
	tracker.tick(start)
	woke := start.Add(time.Minute)
	b := member("b", "dc1", 1)
	tracker.handleInput(helloInput{hello: &peerpb.Hello{Self: b.ToProto()}}, woke)
	tracker.publish()
	if !tracker.View().Stale {
		t.Error("the pause was not detected before the input was applied")
	}
}
