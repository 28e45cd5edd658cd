package platform

import (
	"context"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/freshness"
	"github.com/cornelyard/cornelyard/logging"
	"github.com/cornelyard/cornelyard/platform/platformtest"
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
	var calls []StoreCall
	client := NewStoreClient(store.Address(), func(call StoreCall) { calls = append(calls, call) })
	w := newWatcher(watcher{
		store: client, table: tableTargets, plan: plan, followed: freshness.Targets, position: at,
		logger:   logging.NewStructured(logging.Options{Output: io.Discard}).For("test"),
		onChange: func(map[string][]byte) {}, onCall: func(bool) {},
	})
	if _, _, err := client.listRows(t.Context(), tableTargets); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	w.onCall = func(bool) { cancel() }
	w.watch(ctx)
	if age := time.Since(confirmed); age > 3*time.Second {
		t.Errorf("the targets were confirmed after %v, want at most the contact time of 3 s", age)
	}
	if want := []StoreCall{{CallRead, tableTargets, nil}, {CallNoChanges, tableTargets, nil}, {CallNoChanges, tableTargets, nil}}; !slices.Equal(calls, want) {
		t.Errorf("calls %v, want %v", calls, want)
	}
}

func TestConfirmationNeedsAResponseToALaterCall(t *testing.T) {
	store, s, w := startRereadableWatcher(t)
	store.Put("t", "a", "1")
	s.await(t, "a")
	s.awaitCondition(t, "the watcher polls", func() bool { return store.Polls("t") == 1 })
	started := time.Now()
	if err := w.confirm(t.Context()); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(started); took > 500*time.Millisecond {
		t.Errorf("the confirmation took %v, want the time of a short call", took)
	}
	store.SetDown(true)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	if w.confirm(ctx) == nil {
		t.Error("the table was confirmed although the store does not respond")
	}
}
