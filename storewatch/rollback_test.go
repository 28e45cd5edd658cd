package storewatch_test

import (
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/freshness"
	"github.com/cornelyard/cornelyard/platform/platformtest"
	"github.com/cornelyard/cornelyard/storewatch"
)

func TestWatcherFollowsStoreReturnedFromOlderCopy(t *testing.T) {
	store, s := startWatcher(t)
	store.Put("t", "a", "1")
	s.await(t, "a")
	store.TakeCopy()
	store.Put("t", "b", "1")
	store.Put("t", "c", "1")
	s.await(t, "a,b,c")
	store.Restore()
	s.await(t, "a")
	store.Put("t", "d", "1")
	s.await(t, "a,d")
}

// A version given out again is not the one that the watcher knows.
func TestWatcherRereadsTableWhoseVersionWasGivenOutAgain(t *testing.T) {
	store, s := startWatcher(t)
	store.Put("t", "a", "1")
	s.await(t, "a")
	store.TakeCopy()
	store.Put("t", "b", "1")
	s.await(t, "a,b")
	s.awaitCondition(t, "the watcher polls", func() bool { return store.Polls("t") == 1 })
	returnWith(store, "c")
	s.await(t, "a,c")
}

// returnWith makes the store return at once, with a row under a version given out again.
func returnWith(store *platformtest.Store, key string) {
	store.SetDown(true)
	store.Restore()
	store.Put("t", key, "1")
	store.SetDown(false)
}

// The store was away while the watcher had no call open.
func TestWatcherBetweenTwoPollsLearnsOfReturnFromAnother(t *testing.T) {
	store, s := startWatcher(t)
	store.Put("t", "a", "1")
	s.await(t, "a")
	s.awaitCondition(t, "the watcher polls", func() bool { return store.Polls("t") == 1 })
	pausing := &watchRecorder{}
	runWatcher(t, storewatch.Options{
		Store: s.client, Table: "t", CoalesceDelay: 200 * time.Millisecond, PollTime: freshness.LongWait,
		OnChange: pausing.recordChange, OnCall: pausing.recordCall,
	})
	pausing.await(t, "a")
	pausing.awaitCondition(t, "both poll", func() bool { return store.Polls("t") == 2 })
	store.TakeCopy()
	store.Put("t", "b", "1")
	pausing.await(t, "a,b")
	s.awaitCondition(t, "only one polls", func() bool { return store.Polls("t") == 1 })
	returnWith(store, "c")
	pausing.await(t, "a,c")
}

func TestStoreReturnsTwice(t *testing.T) {
	store, s := startWatcher(t)
	store.Put("t", "a", "1")
	s.await(t, "a")
	store.TakeCopy()
	store.Put("t", "b", "1")
	s.await(t, "a,b")
	store.Restore()
	store.Restore()
	s.await(t, "a")
	store.Put("t", "c", "1")
	s.await(t, "a,c")
}
