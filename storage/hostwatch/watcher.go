// Package hostwatch keeps the newest host list of the platform at hand, so that
// the parts of one process share a single read of it.
package hostwatch

import (
	"context"
	"reflect"
	"sync"
	"time"

	"github.com/phuslu/log"

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

	mu      sync.Mutex
	entries []storage.HostEntry
	changed chan struct{}
	err     error
}

var _ storage.HostList = (*Watcher)(nil)

// New returns a watcher with an empty list.
func New(o Options) *Watcher {
	return &Watcher{options: o, changed: make(chan struct{}), err: storage.ErrUnavailable}
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
		}
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
