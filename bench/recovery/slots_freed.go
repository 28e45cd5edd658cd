package recovery

import (
	"context"
	"fmt"
	"time"

	"github.com/cornelyard/cornelyard/internal/chatclient"
	"github.com/cornelyard/cornelyard/internal/testbed"
)

// fillSlots occupies every slot with long streams through the host until stop is called.
func (m *measurement) fillSlots(ctx context.Context, host *testbed.Host) (stop context.CancelFunc, err error) {
	ctx, stop = context.WithCancel(ctx)
	begun := make(chan struct{}, 2*slots)
	for n := range slots {
		call := chatclient.Call{
			Model: model, Prompt: fmt.Sprintf("long %d", n), MaxTokens: longTokens, Stream: true,
			OnToken: func(tokens int) {
				if tokens == 1 {
					begun <- struct{}{}
				}
			},
		}
		go func() { _, _ = host.CallerClient(token).Complete(ctx, call) }()
	}
	for range slots {
		select {
		case <-begun:
		case <-time.After(waitTimeout):
			return stop, Error.New("timed out filling the slots with streams")
		}
	}
	return stop, nil
}

// measureFreedSlots fills the slots through one host, frees them, and returns how long a
// call that waits at another host takes from then on. The far data centre is partitioned
// meanwhile, so that the call cannot overflow to it and needs one of these slots.
func (m *measurement) measureFreedSlots(ctx context.Context, holder, caller *testbed.Host, free func(stop context.CancelFunc) error) (time.Duration, error) {
	if err := m.setFarPartitioned(true); err != nil {
		return 0, err
	}
	defer func() { _ = m.setFarPartitioned(false) }()
	stop, err := m.fillSlots(ctx, holder)
	defer stop()
	if err != nil {
		return 0, err
	}
	callErr := make(chan error, 1)
	finished := make(chan time.Time, 1)
	go func() {
		_, err := complete(ctx, caller)
		finished <- time.Now()
		callErr <- err
	}()
	time.Sleep(settleTimeout / 10)
	freed := time.Now()
	if err := free(stop); err != nil {
		return 0, err
	}
	at := <-finished
	return at.Sub(freed), <-callErr
}

func (m *measurement) measureCallsCancelled(ctx context.Context) (time.Duration, error) {
	owner, entry := m.ownerAndEntry()
	return m.measureFreedSlots(ctx, entry, owner, func(stop context.CancelFunc) error {
		stop()
		return nil
	})
}

func (m *measurement) measureEntryKilled(ctx context.Context) (time.Duration, error) {
	owner, entry := m.ownerAndEntry()
	elapsed, err := m.measureFreedSlots(ctx, entry, owner, func(context.CancelFunc) error { return entry.Kill() })
	if err != nil {
		return 0, err
	}
	return elapsed, m.restart(ctx, entry)
}
