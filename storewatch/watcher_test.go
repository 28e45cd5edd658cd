package storewatch_test

import (
	"context"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/freshness"
	"github.com/cornelyard/cornelyard/logging"
	"github.com/cornelyard/cornelyard/platform"
	"github.com/cornelyard/cornelyard/platform/platformtest"
	"github.com/cornelyard/cornelyard/storewatch"
)

// watchRecorder records the callbacks of a watcher.
type watchRecorder struct {
	mu    sync.Mutex
	keys  string
	calls []bool
	// client is the client of the recorded watcher.
	client *platform.StoreClient
}

func (s *watchRecorder) recordChange(values map[string][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keys = strings.Join(slices.Sorted(maps.Keys(values)), ",")
}

func (s *watchRecorder) recordCall(responded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, responded)
}

func (s *watchRecorder) knownKeys() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys
}

func (s *watchRecorder) await(t *testing.T, keys string) {
	t.Helper()
	s.awaitCondition(t, "the keys are "+keys, func() bool { return s.keys == keys })
}

func (s *watchRecorder) awaitCondition(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		s.mu.Lock()
		ok := done()
		s.mu.Unlock()
		if ok {
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t.Fatalf("timed out waiting until %s; keys %q, calls %v", what, s.keys, s.calls)
}

func startWatcher(t *testing.T) (*platformtest.Store, *watchRecorder) {
	t.Helper()
	store, s, _ := startRereadableWatcher(t)
	return store, s
}

// startRereadableWatcher is startWatcher for a test that has the table read again.
func startRereadableWatcher(t *testing.T) (*platformtest.Store, *watchRecorder, *storewatch.Watcher) {
	t.Helper()
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	s := &watchRecorder{client: platform.NewStoreClient(store.Address(), nil)}
	w := runWatcher(t, storewatch.Options{Store: s.client, Table: "t", PollTime: freshness.LongWait, OnChange: s.recordChange, OnCall: s.recordCall})
	return store, s, w
}

func TestWatcherWhosePollGetsNoAnswerReadsTheTableAgain(t *testing.T) {
	store, s, w := startRereadableWatcher(t)
	store.SetWatchesStalled(true)
	store.Put("t", "a", "1")
	s.awaitCondition(t, "the watcher polls", func() bool { return store.Polls("t") == 1 })
	store.Put("t", "b", "1")
	w.Reread()
	s.await(t, "a,b")
}

// runWatcher runs a watcher until the test ends.
func runWatcher(t *testing.T, o storewatch.Options) *storewatch.Watcher {
	t.Helper()
	o.Logger = logging.NewStructured(logging.Options{Output: io.Discard}).For("test")
	w := storewatch.New(o)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = w.Run(ctx) }()
	return w
}

func TestWatcherFollowsChanges(t *testing.T) {
	store, s := startWatcher(t)
	store.Put("t", "a", "1")
	s.await(t, "a")
	store.Put("t", "b", "1")
	s.await(t, "a,b")
	store.Delete("t", "a")
	s.await(t, "b")
}

func TestWatcherRereadsTableAfterHistoryIsDropped(t *testing.T) {
	store, s := startWatcher(t)
	store.Put("t", "a", "1")
	s.await(t, "a")
	store.DropHistory()
	store.Put("t", "b", "1")
	s.await(t, "a,b")
}

func TestWatcherRejectsStaleRead(t *testing.T) {
	store, s := startWatcher(t)
	store.Put("t", "a", "1")
	s.await(t, "a")
	old := store.Version()
	store.Put("t", "b", "1")
	s.await(t, "a,b")
	store.SetStaleRead(old)
	store.DropHistory()
	store.Put("t", "c", "1")
	s.await(t, "a,b,c")
}

func TestWatcherDetectsStoreRecoveryQuickly(t *testing.T) {
	store, s := startWatcher(t)
	store.Put("t", "a", "1")
	s.await(t, "a")
	store.SetDown(true)
	s.awaitCondition(t, "the watcher reports the outage", func() bool { return len(s.calls) > 0 && !s.calls[len(s.calls)-1] })
	store.SetDown(false)
	returned := time.Now()
	s.awaitCondition(t, "the watcher reports the recovery", func() bool { return s.calls[len(s.calls)-1] })
	if took := time.Since(returned); took > 1500*time.Millisecond {
		t.Errorf("recovery detected after %v, want at most 1.5 s", took)
	}
}

func TestWatcherCoalescesChanges(t *testing.T) {
	store := platformtest.NewStore()
	defer store.Close()
	s := &watchRecorder{}
	runWatcher(t, storewatch.Options{
		Store: platform.NewStoreClient(store.Address(), nil), Table: "t", CoalesceDelay: 300 * time.Millisecond, PollTime: freshness.LongWait,
		OnChange: s.recordChange, OnCall: s.recordCall,
	})
	s.awaitCondition(t, "the table is read", func() bool { return len(s.calls) > 0 })
	for i := range 26 {
		store.Put("t", string(rune('a'+i)), "1")
		time.Sleep(5 * time.Millisecond)
	}
	s.await(t, "a,b,c,d,e,f,g,h,i,j,k,l,m,n,o,p,q,r,s,t,u,v,w,x,y,z")
	if calls := store.Calls(); calls > 6 {
		t.Errorf("%d store calls for 26 changes within the coalesce delay, want at most 6", calls)
	}
}

func TestWatcherMakesFewCallsInALongSeriesOfChanges(t *testing.T) {
	store := platformtest.NewStore()
	defer store.Close()
	s := &watchRecorder{}
	runWatcher(t, storewatch.Options{
		Store: platform.NewStoreClient(store.Address(), nil), Table: "t", CoalesceDelay: 50 * time.Millisecond,
		MaxCoalesceDelay: 400 * time.Millisecond, PollTime: freshness.LongWait, OnChange: s.recordChange, OnCall: s.recordCall,
	})
	s.awaitCondition(t, "the table is read", func() bool { return len(s.calls) > 0 })
	for range 100 {
		store.Put("t", "a", "1")
		time.Sleep(15 * time.Millisecond)
	}
	store.Put("t", "b", "1")
	s.await(t, "a,b")
	// Delays of 50, 100, 200 and then 400 ms follow each other.
	if calls := store.Calls(); calls > 10 {
		t.Errorf("%d store calls in 1.5 s of changes, want at most 10", calls)
	}
}

// TestWatcherReadsTheTableAnewAfterAnOutage checks that the watcher lists the table after
// an outage, because a watch for the many changes of the outage times out.
func TestWatcherReadsTheTableAnewAfterAnOutage(t *testing.T) {
	store, s := startWatcher(t)
	store.Put("t", "a", "1")
	s.await(t, "a")
	store.SetDown(true)
	s.awaitCondition(t, "the watcher reports the failed call", func() bool { return slices.Contains(s.calls, false) })
	store.Put("t", "b", "1")
	store.SetWatchesStalled(true)
	store.SetDown(false)
	s.await(t, "a,b")
}
