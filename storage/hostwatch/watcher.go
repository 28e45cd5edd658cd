// Package hostwatch keeps the newest host list of the platform at hand, so that
// the parts of one process share a single read of it.
package hostwatch

import (
	"context"
	"reflect"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/storage"
)

// Options configures a Watcher. All fields are required.
type Options struct {
	List     storage.HostList
	Interval time.Duration
	Logger   *log.Logger
}

// Watcher polls the host list. It implements storage.HostList from memory.
type Watcher struct {
	options Options

	// hurry asks for a poll at once.
	hurry chan struct{}

	mu      sync.Mutex
	entries []storage.HostEntry
	changed chan struct{}
	err     error
	// polled is when the last poll ended, with or without an answer; ended is
	// closed when the next one does.
	polled time.Time
	ended  chan struct{}
}

const (
	// maxPollAge is the age of the last poll beyond which this process must have
	// been paused: polls are at most the interval and a call's timeout apart.
	maxPollAge = 3500 * time.Millisecond
	// confirmLimit bounds the wait for a poll after a pause.
	confirmLimit = time.Second
)

var _ storage.HostList = (*Watcher)(nil)

// New returns a watcher with an empty list.
func New(o Options) *Watcher {
	return &Watcher{
		options: o,
		hurry:   make(chan struct{}, 1),
		changed: make(chan struct{}),
		err:     storage.ErrUnavailable,
		ended:   make(chan struct{}),
	}
}

// Run polls until ctx ends. While the platform is down the last list stays.
func (w *Watcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(w.options.Interval)
	defer ticker.Stop()
	for {
		w.poll(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-w.hurry:
		}
	}
}

// EnsureFresh returns once the list is as new as it can be. Usually that is at once;
// after a pause of this process it waits for a poll, because targets may have left
// meanwhile. The poll may fail: then the old list is all there is.
func (w *Watcher) EnsureFresh(ctx context.Context) {
	w.mu.Lock()
	stale := !w.polled.IsZero() && time.Since(w.polled) > maxPollAge
	ended := w.ended
	w.mu.Unlock()
	if !stale {
		return
	}
	select {
	case w.hurry <- struct{}{}:
	default:
	}
	limit := time.NewTimer(confirmLimit)
	defer limit.Stop()
	select {
	case <-ended:
	case <-limit.C:
	case <-ctx.Done():
	}
}

func (w *Watcher) poll(ctx context.Context) {
	entries, err := w.options.List.Hosts(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	if (err == nil) != (w.err == nil) {
		w.logTurn(err)
	}
	w.err = err
	w.polled = time.Now()
	close(w.ended)
	w.ended = make(chan struct{})
	if err != nil || reflect.DeepEqual(entries, w.entries) {
		return
	}
	w.entries = entries
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *Watcher) logTurn(err error) {
	if err != nil {
		w.options.Logger.Warn().Err(err).Msg("The host list can't be read.")
		return
	}
	w.options.Logger.Info().Msg("The host list is read again.")
}

// TargetLeaving says whether the target is listed as leaving, on a list that is confirmed
// if this process was paused.
func (w *Watcher) TargetLeaving(ctx context.Context, target ident.Target) bool {
	w.EnsureFresh(ctx)
	for _, e := range w.Entries() {
		if e.Role == storage.RoleTarget && e.Name == string(target) {
			return e.State == storage.HostLeaving
		}
	}
	return false
}

// Entries returns the newest list; it must not be changed.
func (w *Watcher) Entries() []storage.HostEntry {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.entries
}

// Changed returns a channel that is closed when the list is replaced.
func (w *Watcher) Changed() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}

// Hosts implements storage.HostList. It fails while the platform does.
func (w *Watcher) Hosts(context.Context) ([]storage.HostEntry, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.entries, w.err
}
