package settings

import (
	"context"
	"time"
)

// sync puts the newest version that the platform or a peer can provide into force.
func (w *Watcher) sync(ctx context.Context) {
	peerVersion := w.peerVersion.Load()
	status := syncStatus{attempted: true}
	status.platformErr = w.syncPlatform(ctx)
	if w.needsPeers(peerVersion, status) {
		status.peersErr = w.syncPeers(ctx)
	}
	if ctx.Err() == nil {
		w.setSyncStatus(status)
		w.updateMetrics(status)
	}
}

// needsPeers reports whether the peers have to be asked: one announced a newer version
// that the platform did not provide, or there are no settings and the platform failed.
func (w *Watcher) needsPeers(peerVersion uint64, status syncStatus) bool {
	version := w.load().version
	return version < peerVersion || (version == 0 && status.platformErr != nil)
}

func (w *Watcher) syncPlatform(ctx context.Context) error {
	known := w.load()
	if current, err := w.isUpToDate(ctx, known); current || err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	newest, _, err := w.loader.load(ctx, known)
	if err != nil {
		return err
	}
	w.install(newest)
	return nil
}

func (w *Watcher) isUpToDate(ctx context.Context, known *state) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, w.headTimeout(known))
	defer cancel()
	newest, err := w.loader.head(ctx)
	if err != nil {
		return false, err
	}
	return newest.version <= known.version, nil
}

// headTimeout returns the short HeadTimeout if a peer may have what the platform does
// not provide: a peer announced a newer version, or none was asked yet.
func (w *Watcher) headTimeout(known *state) time.Duration {
	ahead := w.peerVersion.Load() > known.version
	if ahead || (known.version == 0 && !w.lastSyncStatus().attempted) {
		return w.options.HeadTimeout
	}
	return max(noPeerHeadTimeout, w.options.HeadTimeout)
}

func (w *Watcher) syncPeers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	data, err := w.options.Fetch(ctx, w.load().version)
	if err != nil {
		return Error.Wrap(err)
	}
	return w.Import(data)
}
