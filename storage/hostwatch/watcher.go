// Package hostwatch polls the platform's host list and caches it, so that the
// components of one process share one poll.
package hostwatch

import (
	"context"
	"reflect"
	"sync"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/broadcast"
	"github.com/cornelyard/cornelyard/storage"
)

// Watcher polls the host list. It implements storage.HostList from its cache.
type Watcher struct {
	options Options

	// pollNow triggers a poll before the next tick.
	pollNow chan struct{}

	mu      sync.Mutex
	entries []storage.HostEntry
	changed broadcast.Signal
	err     error
	// lastPoll is when the last poll ended, successfully or not. pollEnded notifies
	// when one ends.
	lastPoll  time.Time
	pollEnded broadcast.Signal
}

const (
	// maxPollAge is the age of the last poll beyond which this process must have been
	// paused: polls are at most the interval plus the timeout of a call apart.
	maxPollAge = 3500 * time.Millisecond
	// refreshTimeout limits the wait for a poll after a pause.
	refreshTimeout = time.Second
)

var _ storage.HostList = (*Watcher)(nil)

// New returns a watcher whose list is empty until Run has polled it.
func New(o Options) *Watcher {
	return &Watcher{
		options:   o,
		pollNow:   make(chan struct{}, 1),
		changed:   broadcast.NewSignal(),
		err:       storage.ErrUnavailable,
		pollEnded: broadcast.NewSignal(),
	}
}

// Run polls until ctx is done. While the platform is unavailable, the last list
// remains in use.
func (w *Watcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(w.options.Interval)
	defer ticker.Stop()
	for {
		w.poll(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-w.pollNow:
		}
	}
}

// EnsureFresh returns immediately unless the process was paused. After a pause it
// triggers a poll and waits for it, because targets may have started to leave in the
// meantime. If the poll fails or takes too long, the previous list remains in use.
func (w *Watcher) EnsureFresh(ctx context.Context) {
	w.mu.Lock()
	stale := !w.lastPoll.IsZero() && time.Since(w.lastPoll) > maxPollAge
	pollEnded := w.pollEnded.Next()
	w.mu.Unlock()
	if !stale {
		return
	}
	select {
	case w.pollNow <- struct{}{}:
	default:
	}
	timeout := time.NewTimer(refreshTimeout)
	defer timeout.Stop()
	select {
	case <-pollEnded:
	case <-timeout.C:
	case <-ctx.Done():
	}
}

func (w *Watcher) poll(ctx context.Context) {
	entries, err := w.options.List.Hosts(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	if (err == nil) != (w.err == nil) {
		w.logTransition(err)
	}
	w.err = err
	w.lastPoll = time.Now()
	w.pollEnded.Notify()
	if err != nil || reflect.DeepEqual(entries, w.entries) {
		return
	}
	w.entries = entries
	w.changed.Notify()
}

func (w *Watcher) logTransition(err error) {
	if err != nil {
		w.options.Logger.Warn().Err(err).Msg("Host list is unavailable; using the last one read.")
		return
	}
	w.options.Logger.Info().Msg("Host list is available again.")
}

// TargetLeaving reports whether the target is listed as leaving. After a pause of the
// process it refreshes the list first.
func (w *Watcher) TargetLeaving(ctx context.Context, target ident.Target) bool {
	w.EnsureFresh(ctx)
	for _, e := range w.Entries() {
		if e.Role == storage.RoleTarget && e.Name == string(target) {
			return e.State == storage.HostLeaving
		}
	}
	return false
}

// Entries returns the latest list. The caller must not modify it.
func (w *Watcher) Entries() []storage.HostEntry {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.entries
}

// Changed returns a channel that is closed when the list changes.
func (w *Watcher) Changed() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed.Next()
}

// Hosts implements storage.HostList. It returns the error of the last poll if that
// failed.
func (w *Watcher) Hosts(context.Context) ([]storage.HostEntry, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.entries, w.err
}
