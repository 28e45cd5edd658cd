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

// eventLog keeps the versions of settings events.
type eventLog struct {
	mu       sync.Mutex
	versions []uint64
}

func (l *eventLog) Record(e timeline.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.Kind == timeline.SettingsApplied {
		l.versions = append(l.versions, e.Version)
	}
}

func (l *eventLog) all() []uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]uint64(nil), l.versions...)
}

const interval = 5 * time.Millisecond

func (s *fixture) watcher(fetch settings.FetchFunc) *settings.Watcher {
	return settings.NewWatcher(settings.WatcherOptions{
		Table: s.table(), Interval: interval, Jitter: 0.2, HeadTimeout: 200 * time.Millisecond, Fetch: fetch,
	})
}

func TestAWatcherFollowsThePlatform(t *testing.T) {
	s := newSite(t)
	events := &eventLog{}
	w := settings.NewWatcher(settings.WatcherOptions{Table: s.table(), Interval: interval, Recorder: events})
	if err := w.Ready(); err == nil || !strings.Contains(err.Error(), "not read yet") {
		t.Errorf("before the start: %v", err)
	}
	s.run(w)
	waitFor(t, "the empty platform is seen", func() bool {
		err := w.Ready()
		return err != nil && strings.Contains(err.Error(), "no declarations have been applied yet")
	})
	changed := w.Changed()
	s.apply(s.store(), firstChange())
	waitFor(t, "version 1", func() bool { return w.Version() == 1 })
	<-changed
	if err := w.Ready(); err != nil {
		t.Error(err)
	}
	if _, ok := w.Current().Teams["desk"]; !ok {
		t.Error("the team is not in the snapshot")
	}
	s.apply(s.store(), change("tiers/gold.json", tierBody("9s")))
	waitFor(t, "version 2", func() bool { return w.Version() == 2 })
	if got := w.Current().Tiers["gold"].DefaultDeadline.Std(); got != 9*time.Second {
		t.Errorf("deadline %v", got)
	}
	if got := events.all(); len(got) != 2 || got[0] != 1 || got[1] != 2 {
		t.Errorf("events %v", got)
	}
}

func TestLocalChangeIsInForceImmediately(t *testing.T) {
	s := newSite(t)
	w := s.watcher(nil)
	store := settings.NewStore(settings.StoreOptions{Table: s.table(), Watcher: w})
	if result := s.apply(store, firstChange()); w.Version() != result.Version || w.Ready() != nil {
		t.Errorf("version %d in force after %+v", w.Version(), result)
	}
}

func TestAHostThatStartsDuringAnOutageAsksItsPeers(t *testing.T) {
	s := newSite(t)
	peer := s.watcher(nil)
	store := settings.NewStore(settings.StoreOptions{Table: s.table(), Watcher: peer})
	s.apply(store, firstChange())
	s.apply(store, change("tiers/gold.json", tierBody("9s")))
	s.platform.SetFaults(standin.Faults{Outage: true})

	starting := s.watcher(func(_ context.Context, have uint64) ([]byte, error) { return peer.Export(have) })
	s.run(starting)
	waitFor(t, "the peer's version", func() bool { return starting.Version() == 2 })
	if starting.Current().Tiers["gold"].DefaultDeadline.Std() != 9*time.Second {
		t.Error("the peer's declaration is not in force")
	}
	s.platform.SetFaults(standin.Faults{})
	s.apply(s.store(), change("tiers/gold.json", tierBody("8s")))
	waitFor(t, "the version after the outage", func() bool { return starting.Version() == 3 })
}

func TestWithNeitherPlatformNorPeersAHostIsNotReady(t *testing.T) {
	s := newSite(t)
	s.apply(s.store(), firstChange())
	s.platform.SetFaults(standin.Faults{Outage: true})
	w := s.watcher(func(context.Context, uint64) ([]byte, error) { return nil, settings.Error.New("no peer answers") })
	s.run(w)
	waitFor(t, "the reason", func() bool {
		err := w.Ready()
		return err != nil && strings.Contains(err.Error(), "unavailable") && strings.Contains(err.Error(), "no peer answers")
	})
	if w.Current() != nil {
		t.Error("there is a snapshot")
	}
}

func TestPeerVersionIsFetchedWhenThePlatformIsDown(t *testing.T) {
	s := newSite(t)
	ahead, behind := s.watcher(nil), (*settings.Watcher)(nil)
	store := settings.NewStore(settings.StoreOptions{Table: s.table(), Watcher: ahead})
	s.apply(store, firstChange())
	behind = settings.NewWatcher(settings.WatcherOptions{
		Table: s.table(), Interval: time.Hour,
		Fetch: func(_ context.Context, have uint64) ([]byte, error) { return ahead.Export(have) },
	})
	s.run(behind)
	waitFor(t, "version 1", func() bool { return behind.Version() == 1 })
	s.apply(store, change("tiers/gold.json", tierBody("9s")))
	s.platform.SetFaults(standin.Faults{Outage: true})
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

// TestADocumentOfANewerReleaseIsUsedAsFarAsItIsKnown takes a version with a
// field that this release does not know, and one with no sense at all.
func TestDocumentsOfANewerReleaseAreUsedWhereUnderstood(t *testing.T) {
	s := newSite(t)
	w := s.watcher(nil)
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

// TestASlowPlatformIsFollowed changes the settings past all hosts, so that no
// peer has them.
func TestASlowPlatformIsFollowed(t *testing.T) {
	s := newSite(t)
	w := settings.NewWatcher(settings.WatcherOptions{Table: s.table(), Interval: interval, HeadTimeout: 20 * time.Millisecond})
	store := settings.NewStore(settings.StoreOptions{Table: s.table(), Watcher: w})
	s.apply(store, firstChange())
	s.platform.SetFaults(standin.Faults{DelayMs: 100})
	s.run(w)
	s.apply(s.store(), change("tiers/gold.json", tierBody("9s")))
	waitFor(t, "version 2", func() bool { return w.Version() == 2 })

	starting := settings.NewWatcher(settings.WatcherOptions{Table: s.table(), Interval: interval, HeadTimeout: 20 * time.Millisecond})
	s.run(starting)
	waitFor(t, "version 2 on a host that starts", func() bool { return starting.Version() == 2 })
}

func TestVersionNeverDecreases(t *testing.T) {
	s := newSite(t)
	w := s.watcher(nil)
	store := settings.NewStore(settings.StoreOptions{Table: s.table(), Watcher: w})
	s.apply(store, firstChange())
	older, err := w.Export(0)
	if err != nil {
		t.Fatal(err)
	}
	s.apply(store, change("tiers/gold.json", tierBody("9s")))
	for _, data := range [][]byte{older, nil} {
		if err := w.Import(data); err != nil || w.Version() != 2 {
			t.Fatalf("version %d after an import, %v", w.Version(), err)
		}
	}
	for _, broken := range [][]byte{[]byte("{"), gzipped(t, "{"), gzipped(t, "")} {
		if err := w.Import(broken); err == nil || w.Version() != 2 {
			t.Errorf("a broken export was taken: %v", err)
		}
	}
	if data, err := w.Export(2); err != nil || data != nil {
		t.Errorf("an export for a host that has it: %q, %v", data, err)
	}

	// A platform that has lost everything is not followed.
	empty := newSite(t)
	ahead := settings.NewWatcher(settings.WatcherOptions{Table: empty.table(), Interval: interval})
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
