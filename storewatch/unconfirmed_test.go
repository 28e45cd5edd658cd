package storewatch_test

import (
	"context"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/freshness"
	"github.com/cornelyard/cornelyard/logging"
	"github.com/cornelyard/cornelyard/platform"
	"github.com/cornelyard/cornelyard/platform/platformtest"
	"github.com/cornelyard/cornelyard/storewatch"
)

func newTestPlan() *freshness.Plan {
	return freshness.NewPlan(freshness.Options{Clock: func(now time.Time) int64 { return now.UnixMilli() }})
}

// Guards against a long poll that goes on though nothing has confirmed its table, for instance because
// the hosts that did so are gone.
func TestLongPollOfTargetsEndsWhenTheyAreDue(t *testing.T) {
	store := platformtest.NewStore()
	defer store.Close()
	at := freshness.Position{Era: store.Era(), Version: store.Version()}
	plan := newTestPlan()
	plan.End(time.Now(), freshness.Targets, at, 0)
	confirmed := time.Now()
	// Another host asks often, and then no more.
	plan.Merge(confirmed, "h0", []freshness.Statement{{Table: freshness.Targets, AsOfMs: confirmed.UnixMilli(), Frequent: true}})
	var calls []storewatch.Call
	client := platform.NewStoreClient(store.Address(), func(call storewatch.Call) { calls = append(calls, call) })
	ctx, cancel := context.WithCancel(t.Context())
	responses := 0
	w := storewatch.New(storewatch.Options{
		Store: client, Table: "servers", Plan: plan, Followed: freshness.Targets,
		Logger:   logging.NewStructured(logging.Options{Output: io.Discard}).For("test"),
		OnChange: func(map[string][]byte) {},
		OnCall: func(bool) {
			// The whole table is read first.
			if responses++; responses == 2 {
				cancel()
			}
		},
	})
	if err := w.Run(ctx); err != nil {
		t.Fatal(err)
	}
	if age := time.Since(confirmed); age > 3*time.Second {
		t.Errorf("the targets were confirmed after %v, want at most the contact time of 3 s", age)
	}
	if want := []storewatch.Call{{Kind: storewatch.CallRead, Table: "servers"}, {Kind: storewatch.CallNoChanges, Table: "servers"}, {Kind: storewatch.CallNoChanges, Table: "servers"}}; !slices.Equal(calls, want) {
		t.Errorf("calls %v, want %v", calls, want)
	}
}

func TestConfirmationNeedsAResponseToALaterCall(t *testing.T) {
	store, s, w := startRereadableWatcher(t)
	store.Put("t", "a", "1")
	s.await(t, "a")
	s.awaitCondition(t, "the watcher polls", func() bool { return store.Polls("t") == 1 })
	started := time.Now()
	if err := w.Confirm(t.Context()); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(started); took > 500*time.Millisecond {
		t.Errorf("the confirmation took %v, want the time of a short call", took)
	}
	store.SetDown(true)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	if w.Confirm(ctx) == nil {
		t.Error("the table was confirmed although the store does not respond")
	}
}

// TestTableIsConfirmedOnlyOnceItsRowsAreApplied guards against entries that are trusted although the response which names newer
// ones is still being applied.
func TestTableIsConfirmedOnlyOnceItsRowsAreApplied(t *testing.T) {
	store := platformtest.NewStore()
	defer store.Close()
	store.Put("servers", "a", "1")
	s := &watchRecorder{}
	confirmed := make(chan string, 10)
	plan := freshness.NewPlan(freshness.Options{
		Clock:     func(now time.Time) int64 { return now.UnixMilli() },
		OnConfirm: func(freshness.Table, time.Time) { confirmed <- s.knownKeys() },
	})
	runWatcher(t, storewatch.Options{
		Store: platform.NewStoreClient(store.Address(), nil), Table: "servers", Plan: plan, Followed: freshness.Targets,
		OnChange: s.recordChange, OnCall: s.recordCall,
	})
	for _, want := range []string{"a", "a,b"} {
		select {
		case keys := <-confirmed:
			if keys != want {
				t.Errorf("the table was confirmed with the rows %q, want %q", keys, want)
			}
		case <-time.After(2 * time.Second):
			t.Fatalf("the rows %q were not confirmed", want)
		}
		store.Put("servers", "b", "1")
	}
}
