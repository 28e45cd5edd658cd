package settings

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/cornelyard/cornelyard/metrics"
)

// Watcher puts each accepted version into force on this host. The version in force
// never decreases. It implements Source.
type Watcher struct {
	*replica
	options WatcherOptions
	loader  loader
	// peerVersion is the highest version that another host has announced.
	peerVersion atomic.Uint64
	wake        chan struct{}

	statusMu sync.Mutex
	status   syncStatus

	// lastPlatformRead is the time of the last successful read from the platform,
	// initially that of the start.
	lastPlatformRead time.Time
	versionGauge     tally.Gauge
	ageGauge         tally.Gauge
}

var _ Source = (*Watcher)(nil)

// NewWatcher returns a watcher without any settings in force.
func NewWatcher(o WatcherOptions) *Watcher {
	o = o.withDefaults()
	return &Watcher{
		replica: newReplica(o.Recorder, o.Logger),
		options: o,
		loader:  loader{table: o.Table},
		wake:    make(chan struct{}, 1),

		lastPlatformRead: time.Now(),
		versionGauge:     o.Scope.Gauge(metrics.SettingsVersion),
		ageGauge:         o.Scope.Gauge(metrics.SettingsAge),
	}
}

// Run polls the platform, and the peers where needed, until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	for {
		w.sync(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-w.wake:
		case <-time.After(w.nextInterval()):
		}
	}
}

// nextInterval returns the polling interval with random jitter.
func (w *Watcher) nextInterval() time.Duration {
	factor := 1 + w.options.Jitter*(2*rand.Float64()-1)
	return time.Duration(factor * float64(w.options.Interval))
}

// NotifyVersion informs the watcher that another host has the version in force, so that
// it polls at once if that is newer. It does not block.
func (w *Watcher) NotifyVersion(version uint64) {
	if version <= w.load().version || !storeMax(&w.peerVersion, version) {
		return
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// storeMax sets value to version if that is higher, and reports whether it did.
func storeMax(value *atomic.Uint64, version uint64) bool {
	for {
		old := value.Load()
		if version <= old {
			return false
		}
		if value.CompareAndSwap(old, version) {
			return true
		}
	}
}

// Version returns the version in force, or zero if there is none yet.
func (w *Watcher) Version() uint64 { return w.load().version }

// Tree returns the documents in force and their version.
func (w *Watcher) Tree() (*Tree, uint64) {
	s := w.load()
	return s.tree, s.version
}

// Export returns the complete tree for Import on another host, or nil if the version
// in force is not above have.
func (w *Watcher) Export(have uint64) ([]byte, error) {
	s := w.load()
	if s.version <= have {
		return nil, nil
	}
	return encodeState(s)
}

// Import puts an export into force if its version is above the one in force. Empty
// data is ignored.
func (w *Watcher) Import(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	s, err := decodeState(data, w.load())
	if err != nil {
		return err
	}
	w.install(s)
	return nil
}

// Ready returns nil if settings are in force, else the reason why not.
func (w *Watcher) Ready() error {
	if w.Current() != nil {
		return nil
	}
	return w.lastSyncStatus().notReadyError()
}

func (w *Watcher) lastSyncStatus() syncStatus {
	w.statusMu.Lock()
	defer w.statusMu.Unlock()
	return w.status
}

func (w *Watcher) updateMetrics(status syncStatus) {
	if status.platformErr == nil {
		w.lastPlatformRead = time.Now()
	}
	w.versionGauge.Update(float64(w.load().version))
	w.ageGauge.Update(time.Since(w.lastPlatformRead).Seconds())
}

func (w *Watcher) setSyncStatus(status syncStatus) {
	w.statusMu.Lock()
	previous := w.status
	w.status = status
	w.statusMu.Unlock()
	switch {
	case previous.platformErr == nil && status.platformErr != nil:
		w.logger.Warn().Err(status.platformErr).Msg("Reading settings from the platform failed; keeping the settings in force and retrying")
	case previous.platformErr != nil && status.platformErr == nil:
		w.logger.Info().Msg("Reading settings from the platform succeeds again")
	}
}
