package storewatch

import (
	"context"
	"errors"
	"time"

	"github.com/cornelyard/cornelyard/freshness"
)

// poll waits for changes. It returns errOutdated if the table has to be read again instead, and
// ErrUnconfirmed if another call has to confirm the table.
func (w *Watcher) poll(ctx context.Context) ([]Row, freshness.Position, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	wait := w.nextWait()
	done, reread := make(chan struct{}), make(chan bool, 1)
	go func() {
		select {
		case <-w.outdated:
			cancel(errOutdated)
			reread <- true
		case <-done:
			reread <- false
		}
	}()
	if wait > freshness.ShortWait {
		go w.endUnconfirmed(done, func() { cancel(ErrUnconfirmed) })
	}
	rows, read, err := w.options.Store.WaitForChanges(ctx, w.options.Table, w.position, wait)
	close(done)
	switch {
	case <-reread:
		// Also if the request came after the response, so that it isn't lost.
		err = errOutdated
	case err != nil && errors.Is(context.Cause(ctx), ErrUnconfirmed):
		err = ErrUnconfirmed
	}
	return rows, read, err
}

// nextWait returns how long the next call waits for changes.
func (w *Watcher) nextWait() time.Duration {
	if w.storeDown {
		return freshness.ShortWait
	}
	wait := w.options.PollTime
	if w.options.Plan != nil {
		wait = w.options.Plan.Begin(time.Now(), w.options.Followed)
	}
	select {
	case <-w.urgent:
		return freshness.ShortWait
	default:
		return wait
	}
}

// endUnconfirmed calls end once the table has to be confirmed, unless done is closed first.
func (w *Watcher) endUnconfirmed(done <-chan struct{}, end func()) {
	timer := time.NewTimer(w.dueIn())
	defer timer.Stop()
	for {
		select {
		case <-done:
			return
		case <-w.urgent:
			w.RequestConfirmation()
			end()
			return
		case <-timer.C:
		}
		wait := w.dueIn()
		if wait <= 0 {
			end()
			return
		}
		timer.Reset(wait)
	}
}

// dueIn returns the time until the table has to be confirmed.
func (w *Watcher) dueIn() time.Duration {
	if w.options.Plan == nil {
		return w.options.PollTime + freshness.Grace
	}
	return w.options.Plan.DueIn(time.Now(), w.options.Followed)
}

// RequestConfirmation has the next call respond at once, and ends one that waits. It does not block.
func (w *Watcher) RequestConfirmation() {
	select {
	case w.urgent <- struct{}{}:
	default:
	}
}

// Confirm returns once a call that was made after it was called has brought the newest rows, and they
// have been applied.
func (w *Watcher) Confirm(ctx context.Context) error {
	confirmed := w.confirmations.begin(time.Now())
	w.RequestConfirmation()
	select {
	case <-confirmed:
		return nil
	case <-ctx.Done():
		return Error.Wrap(context.Cause(ctx))
	}
}

// sleep waits for a delay between two calls, unless a response is wanted at once.
func (w *Watcher) sleep(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-w.urgent:
		w.RequestConfirmation()
	}
}
