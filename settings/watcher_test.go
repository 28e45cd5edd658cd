package settings_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	standin "github.com/cornelyard/cornelyard/internal/standin/platform"
	"github.com/cornelyard/cornelyard/settings"
	"github.com/cornelyard/cornelyard/timeline"
)

// versionRecorder records the versions of the settings-applied events.
type versionRecorder struct {
	mu       sync.Mutex
	versions []uint64
}

func (r *versionRecorder) Record(e timeline.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.Kind == timeline.SettingsApplied {
		r.versions = append(r.versions, e.Version)
	}
}

func (r *versionRecorder) snapshot() []uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]uint64(nil), r.versions...)
}

const pollInterval = 5 * time.Millisecond

func (f *fixture) watcher(fetch settings.FetchFunc) *settings.Watcher {
	return settings.NewWatcher(settings.WatcherOptions{
		Table: f.table(), Interval: pollInterval, Jitter: 0.2, HeadTimeout: 200 * time.Millisecond, Fetch: fetch,
	})
}

func TestWatcherFollowsThePlatform(t *testing.T) {
	f := newFixture(t)
	events := &versionRecorder{}
	w := settings.NewWatcher(settings.WatcherOptions{Table: f.table(), Interval: pollInterval, Recorder: events})
	if err := w.Ready(); err == nil || !strings.Contains(err.Error(), "not read yet") {
		t.Errorf("Ready before the first read: %v", err)
	}
	f.run(w)
	waitFor(t, "the first read of the empty platform", func() bool {
		err := w.Ready()
		return err != nil && strings.Contains(err.Error(), "no declarations have been applied yet")
	})
	changed := w.Changed()
	f.apply(f.store(), firstChange())
	waitFor(t, "version 1", func() bool { return w.Version() == 1 })
	<-changed
	if err := w.Ready(); err != nil {
		t.Error(err)
	}
	if _, ok := w.Current().Teams["desk"]; !ok {
		t.Error("the team is not in the snapshot")
	}
	f.apply(f.store(), change("tiers/gold.json", tierBody("9s")))
	waitFor(t, "version 2", func() bool { return w.Version() == 2 })
	if got := w.Current().Tiers["gold"].DefaultDeadline.Std(); got != 9*time.Second {
		t.Errorf("deadline %v", got)
	}
	if got := events.snapshot(); len(got) != 2 || got[0] != 1 || got[1] != 2 {
		t.Errorf("events %v", got)
	}
}

func TestLocalChangeIsInForceImmediately(t *testing.T) {
	f := newFixture(t)
	w := f.watcher(nil)
	store := settings.NewStore(settings.StoreOptions{Table: f.table(), Watcher: w})
	if result := f.apply(store, firstChange()); w.Version() != result.Version || w.Ready() != nil {
		t.Errorf("version %d in force after %+v", w.Version(), result)
	}
}

func TestHostStartedDuringOutageFetchesFromPeers(t *testing.T) {
	f := newFixture(t)
	peer := f.watcher(nil)
	store := settings.NewStore(settings.StoreOptions{Table: f.table(), Watcher: peer})
	f.apply(store, firstChange())
	f.apply(store, change("tiers/gold.json", tierBody("9s")))
	f.platform.SetFaults(standin.Faults{Outage: true})

	starting := f.watcher(func(_ context.Context, have uint64) ([]byte, error) { return peer.Export(have) })
	f.run(starting)
	waitFor(t, "the peer's version", func() bool { return starting.Version() == 2 })
	if starting.Current().Tiers["gold"].DefaultDeadline.Std() != 9*time.Second {
		t.Error("the peer's declaration is not in force")
	}
	f.platform.SetFaults(standin.Faults{})
	f.apply(f.store(), change("tiers/gold.json", tierBody("8s")))
	waitFor(t, "the version after the outage", func() bool { return starting.Version() == 3 })
}

func TestHostIsNotReadyWithoutPlatformAndPeers(t *testing.T) {
	f := newFixture(t)
	f.apply(f.store(), firstChange())
	f.platform.SetFaults(standin.Faults{Outage: true})
	w := f.watcher(func(context.Context, uint64) ([]byte, error) { return nil, settings.Error.New("no peer answers") })
	f.run(w)
	waitFor(t, "the reason", func() bool {
		err := w.Ready()
		return err != nil && strings.Contains(err.Error(), "unavailable") && strings.Contains(err.Error(), "no peer answers")
	})
	if w.Current() != nil {
		t.Error("a snapshot is in force without any settings read")
	}
}

func TestPeerVersionIsFetchedWhenThePlatformIsDown(t *testing.T) {
	f := newFixture(t)
	ahead, behind := f.watcher(nil), (*settings.Watcher)(nil)
	store := settings.NewStore(settings.StoreOptions{Table: f.table(), Watcher: ahead})
	f.apply(store, firstChange())
	behind = settings.NewWatcher(settings.WatcherOptions{
		Table: f.table(), Interval: time.Hour,
		Fetch: func(_ context.Context, have uint64) ([]byte, error) { return ahead.Export(have) },
	})
	f.run(behind)
	waitFor(t, "version 1", func() bool { return behind.Version() == 1 })
	f.apply(store, change("tiers/gold.json", tierBody("9s")))
	f.platform.SetFaults(standin.Faults{Outage: true})
	behind.NotifyVersion(2)
	waitFor(t, "version 2", func() bool { return behind.Version() == 2 })
}

func gzipped(t *testing.T, text string) []byte {
	t.Helper()
	var buffer bytes.Buffer
	writer := gzip.NewWriter(&buffer)
	if _, err := writer.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
	return buffer.Bytes()
}

// TestDocumentsOfANewerReleaseAreUsedWhereUnderstood imports a document with an
// unknown field, which is ignored, and documents that are invalid or have an unknown
// path, which are skipped.
func TestDocumentsOfANewerReleaseAreUsedWhereUnderstood(t *testing.T) {
	f := newFixture(t)
	w := f.watcher(nil)
	newer := `{"version": 7, "documents": [
		{"path": "tiers/gold.json", "body": "{\"rank\": 0, \"defaultDeadline\": \"9s\", \"colour\": \"red\"}"},
		{"path": "tiers/none.json", "body": "{"},
		{"path": "regions/one.json", "body": "{}"}
	]}`
	if err := w.Import(gzipped(t, newer)); err != nil {
		t.Fatal(err)
	}
	tiers := w.Current().Tiers
	if len(tiers) != 1 || tiers["gold"] == nil || tiers["gold"].DefaultDeadline.Std() != 9*time.Second {
		t.Errorf("tiers %+v", tiers)
	}
}

// TestSlowPlatformIsFollowed checks that the watcher does not depend on its short head
// timeout: the platform answers more slowly than that, and no peer has the new
// version.
func TestSlowPlatformIsFollowed(t *testing.T) {
	f := newFixture(t)
	w := settings.NewWatcher(settings.WatcherOptions{Table: f.table(), Interval: pollInterval, HeadTimeout: 20 * time.Millisecond})
	store := settings.NewStore(settings.StoreOptions{Table: f.table(), Watcher: w})
	f.apply(store, firstChange())
	f.platform.SetFaults(standin.Faults{DelayMs: 100})
	f.run(w)
	f.apply(f.store(), change("tiers/gold.json", tierBody("9s")))
	waitFor(t, "version 2", func() bool { return w.Version() == 2 })

	starting := settings.NewWatcher(settings.WatcherOptions{Table: f.table(), Interval: pollInterval, HeadTimeout: 20 * time.Millisecond})
	f.run(starting)
	waitFor(t, "version 2 on a starting host", func() bool { return starting.Version() == 2 })
}

func TestVersionNeverDecreases(t *testing.T) {
	f := newFixture(t)
	w := f.watcher(nil)
	store := settings.NewStore(settings.StoreOptions{Table: f.table(), Watcher: w})
	f.apply(store, firstChange())
	older, err := w.Export(0)
	if err != nil {
		t.Fatal(err)
	}
	f.apply(store, change("tiers/gold.json", tierBody("9s")))
	for _, data := range [][]byte{older, nil} {
		if err := w.Import(data); err != nil || w.Version() != 2 {
			t.Fatalf("version %d after an import, %v", w.Version(), err)
		}
	}
	for _, broken := range [][]byte{[]byte("{"), gzipped(t, "{"), gzipped(t, "")} {
		if err := w.Import(broken); err == nil || w.Version() != 2 {
			t.Errorf("broken export accepted: error %v", err)
		}
	}
	if data, err := w.Export(2); err != nil || data != nil {
		t.Errorf("export to a host with the same version: %q, %v", data, err)
	}

	// An empty platform, which has lost all data, does not replace the settings in force.
	empty := newFixture(t)
	ahead := settings.NewWatcher(settings.WatcherOptions{Table: empty.table(), Interval: pollInterval})
	data, _ := w.Export(0)
	if err := ahead.Import(data); err != nil {
		t.Fatal(err)
	}
	empty.run(ahead)
	reads := empty.platform.Counts().Reads
	waitFor(t, "some reads of the empty platform", func() bool { return empty.platform.Counts().Reads > reads+3 })
	if ahead.Version() != 2 {
		t.Errorf("version %d", ahead.Version())
	}
}
