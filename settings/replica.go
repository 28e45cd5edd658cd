package settings

import (
	"sync"

	"github.com/phuslu/log"

	"github.com/cornelyard/cornelyard/internal/broadcast"
	"github.com/cornelyard/cornelyard/timeline"
)

// replica is this host's copy of the settings. Its version never decreases.
type replica struct {
	recorder timeline.Recorder
	logger   *log.Logger

	mu       sync.Mutex
	state    *state
	snapshot *Snapshot
	changed  broadcast.Signal
}

func newReplica(recorder timeline.Recorder, logger *log.Logger) *replica {
	return &replica{
		recorder: recorder,
		logger:   logger,
		state:    emptyState(),
		changed:  broadcast.NewSignal(),
	}
}

// load returns the state in force; its version is zero if there is none yet.
func (r *replica) load() *state {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}

// Current implements Source.
func (r *replica) Current() *Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.snapshot
}

// Changed implements Source.
func (r *replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed.Next()
}

// install puts the state into force if its version is newer.
func (r *replica) install(next *state) {
	if next.version <= r.load().version {
		return
	}
	snapshot := next.tree.snapshot(next.version)
	previous, ok := r.replace(next, snapshot)
	if !ok {
		return
	}
	r.logInstalled(previous, next)
}

func (r *replica) replace(next *state, snapshot *Snapshot) (previous *state, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if next.version <= r.state.version {
		return nil, false
	}
	previous = r.state
	r.state = next
	r.snapshot = snapshot
	r.changed.Notify()
	r.recorder.Record(timeline.Event{Kind: timeline.SettingsApplied, Version: next.version})
	return previous, true
}

// logInstalled logs the new version and the findings of its changed documents under
// this release's checks.
func (r *replica) logInstalled(previous, next *state) {
	r.logger.Info().Uint64("version", next.version).Msg("Settings version in force")
	for path, e := range next.tree.entries {
		if previous.tree.entries[path] == e {
			continue
		}
		for _, f := range e.findings {
			r.logger.Warn().Uint64("version", next.version).Str("finding", f.String()).Msg("Settings document fails a check of this release; using the parts that could be decoded")
		}
	}
}
