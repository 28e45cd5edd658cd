package hostwatch

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/logging"
	"github.com/cornelyard/cornelyard/storage"
)

// fakeHostList is a host list that tests can change.
type fakeHostList struct {
	mu      sync.Mutex
	entries []storage.HostEntry
}

func (l *fakeHostList) Hosts(context.Context) ([]storage.HostEntry, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.entries, nil
}

func (l *fakeHostList) set(entries ...storage.HostEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = entries
}

func startWatcher(t *testing.T) (*fakeHostList, *Watcher) {
	t.Helper()
	l := &fakeHostList{}
	l.set(storage.HostEntry{Name: "t1"})
	w := New(Options{
		List: l, Interval: time.Hour,
		Logger: logging.New(logging.Options{Output: io.Discard}).For("hosts"),
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = w.Run(ctx) }()
	for end := time.Now().Add(5 * time.Second); len(w.Entries()) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("host list was not polled within 5 s")
		}
	}
	return l, w
}

func TestHostListIsRefreshedAfterPause(t *testing.T) {
	l, w := startWatcher(t)
	l.set(storage.HostEntry{Name: "t1", Role: storage.RoleTarget, State: storage.HostLeaving})
	w.mu.Lock()
	w.lastPoll = time.Now().Add(-2 * maxPollAge)
	w.mu.Unlock()
	if !w.TargetLeaving(context.Background(), "t1") {
		t.Error("target that began to leave during a pause is not reported as leaving")
	}
}

func TestFreshHostListIsNotPolledAgain(t *testing.T) {
	_, w := startWatcher(t)
	start := time.Now()
	w.EnsureFresh(context.Background())
	if took := time.Since(start); took > 100*time.Millisecond {
		t.Errorf("EnsureFresh took %v with a fresh list, want at most 100ms", took)
	}
}
