package platform

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/freshness"
	"github.com/cornelyard/cornelyard/logging"
	"github.com/cornelyard/cornelyard/platform/platformtest"
)

// Guards against a host that refuses requests for the time of a series of changes because its first list
// held no targets: it is ready, and they registered a moment later.
func TestFirstTargetsAreKnownAtOnce(t *testing.T) {
	store := platformtest.NewStore()
	defer store.Close()
	listed, known := make(chan struct{}, 1), make(chan time.Time, 1)
	w := newWatcher(watcher{
		store: NewStoreClient(store.Address(), func(StoreCall) {}), table: tableTargets, startsInSeries: true,
		coalesceDelay: targetsCoalesceDelay, maxCoalesceDelay: 2 * time.Second, plan: newTestPlan(), followed: freshness.Targets,
		logger: logging.NewStructured(logging.Options{Output: io.Discard}).For("test"),
		onCall: func(bool) {},
		onChange: func(values map[string][]byte) {
			if len(values) == 0 {
				listed <- struct{}{}
				return
			}
			known <- time.Now()
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = w.run(ctx) }()
	<-listed
	registered := time.Now()
	store.Put("servers", "i-1", `{}`)
	if took := (<-known).Sub(registered); took > targetsCoalesceDelay {
		t.Errorf("the first target is known after %v, want %v at most", took, targetsCoalesceDelay)
	}
}
