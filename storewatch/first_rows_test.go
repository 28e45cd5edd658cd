package storewatch_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/freshness"
	"github.com/cornelyard/cornelyard/logging"
	"github.com/cornelyard/cornelyard/platform"
	"github.com/cornelyard/cornelyard/platform/platformtest"
	"github.com/cornelyard/cornelyard/storewatch"
)

// Guards against a host that refuses requests for the time of a series of changes because its first list
// held no targets: it is ready, and they registered a moment later.
func TestFirstTargetsAreKnownAtOnce(t *testing.T) {
	const firstDelay = 250 * time.Millisecond
	store := platformtest.NewStore()
	defer store.Close()
	listed, known := make(chan struct{}, 1), make(chan time.Time, 1)
	w := storewatch.New(storewatch.Options{
		Store: platform.NewStoreClient(store.Address(), func(storewatch.Call) {}), Table: "servers", StartsInSeries: true,
		CoalesceDelay: firstDelay, MaxCoalesceDelay: 2 * time.Second, Plan: newTestPlan(), Followed: freshness.Targets,
		Logger: logging.NewStructured(logging.Options{Output: io.Discard}).For("test"),
		OnCall: func(bool) {},
		OnChange: func(values map[string][]byte) {
			if len(values) == 0 {
				listed <- struct{}{}
				return
			}
			known <- time.Now()
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = w.Run(ctx) }()
	<-listed
	registered := time.Now()
	store.Put("servers", "i-1", `{}`)
	if took := (<-known).Sub(registered); took > firstDelay {
		t.Errorf("the first target is known after %v, want %v at most", took, firstDelay)
	}
}
