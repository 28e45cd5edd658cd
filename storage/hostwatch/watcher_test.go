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

// list is a host list whose entries can be replaced.
type list struct {
	mu      sync.Mutex
	entries []storage.HostEntry
}

func (l *list) Hosts(context.Context) ([]storage.HostEntry, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.entries, nil
}

func (l *list) set(entries ...storage.HostEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = entries
}

func startWatcher(t *testing.T) (*list, *Watcher) {
	t.Helper()
	l := &list{}
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
			t.Fatal("the list is never read")
		}
	}
	return l, w
}

func TestListIsReadAnewAfterAPause(t *testing.T) {
	l, w := startWatcher(t)
	l.set(storage.HostEntry{Name: "t1", Role: storage.RoleTarget, State: storage.HostLeaving})
	w.mu.Lock()
	w.polled = time.Now().Add(-2 * maxPollAge)
	w.mu.Unlock()
	if !w.TargetLeaving(context.Background(), "t1") {
		t.Error("after a pause the target that left meanwhile still counts")
	}
}

func TestNewListNeedsNoConfirmation(t *testing.T) {
	_, w := startWatcher(t)
	begun := time.Now()
	w.EnsureFresh(context.Background())
	if took := time.Since(begun); took > 100*time.Millisecond {
		t.Errorf("it took %v", took)
	}
}
