package settings_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	standin "github.com/cornelyard/cornelyard/internal/standin/platform"
	"github.com/cornelyard/cornelyard/settings"
)

const (
	raceHosts      = 7
	raceTeams      = 5
	writersPerTeam = 2
	raceSeed       = 1
	faultInterval  = 20 * time.Millisecond
	maxOutage      = 60 * time.Millisecond
)

// changesPerWriter returns 50, for 500 concurrent changes in total, and fewer in a
// short run.
func changesPerWriter() int {
	if testing.Short() {
		return 10
	}
	return 50
}

// raceTest runs concurrent changes on several hosts.
type raceTest struct {
	*fixture
	stores    []*settings.Store
	watchers  []*settings.Watcher
	recorders []*versionRecorder

	mu sync.Mutex
	// accepted holds, by ID, the changes that were reported as accepted.
	accepted map[string]acceptedChange
	// refused holds the IDs of the changes that were reported as refused.
	refused map[string]bool
}

// acceptedChange is an accepted change as reported to its writer.
type acceptedChange struct {
	base    uint64
	version uint64
}

func newRaceTest(f *fixture) *raceTest {
	r := &raceTest{fixture: f, accepted: make(map[string]acceptedChange), refused: make(map[string]bool)}
	for range raceHosts {
		recorder := &versionRecorder{}
		w := settings.NewWatcher(settings.WatcherOptions{Table: f.table(), Interval: pollInterval, Recorder: recorder})
		r.recorders = append(r.recorders, recorder)
		r.watchers = append(r.watchers, w)
		r.stores = append(r.stores, settings.NewStore(settings.StoreOptions{Table: f.table(), Watcher: w, Timeout: waitTimeout}))
		f.run(w)
	}
	return r
}

// applyUntilAccepted applies the change on random hosts, with a new base and ID after
// each conflict, until it is accepted.
func (r *raceTest) applyUntilAccepted(random *rand.Rand, c settings.Change, id string) error {
	for attempt := 0; ; attempt++ {
		host := random.IntN(raceHosts)
		c.Base = r.watchers[host].Version()
		c.ID = fmt.Sprintf("%s/%d", id, attempt)
		result, err := r.applyUntilOutcomeKnown(host, c)
		var conflict *settings.ConflictError
		switch {
		case err == nil:
			r.mu.Lock()
			r.accepted[c.ID] = acceptedChange{base: c.Base, version: result.Version}
			r.mu.Unlock()
			return nil
		case errors.As(err, &conflict):
			r.mu.Lock()
			r.refused[c.ID] = true
			r.mu.Unlock()
		default:
			return err
		}
	}
}

// applyUntilOutcomeKnown applies the change, on the next host after each unknown
// outcome, until it is accepted or refused.
func (r *raceTest) applyUntilOutcomeKnown(host int, c settings.Change) (settings.Result, error) {
	for {
		result, err := r.stores[host].Apply(context.Background(), c)
		var unclear *settings.UnknownOutcomeError
		if !errors.As(err, &unclear) {
			return result, err
		}
		host = (host + 1) % raceHosts
	}
}

// injectFaults injects random platform faults until ctx ends, then removes them.
func (r *raceTest) injectFaults(ctx context.Context) {
	random := rand.New(rand.NewPCG(raceSeed, 0))
	defer r.platform.SetFaults(standin.Faults{})
	for ctx.Err() == nil {
		pause := faultInterval
		switch random.IntN(4) {
		case 0:
			r.platform.SetFaults(standin.Faults{Outage: true})
			pause = time.Duration(random.Int64N(int64(maxOutage)))
		case 1:
			r.platform.SetFaults(standin.Faults{LostConfirmations: 2})
		case 2:
			r.platform.SetFaults(standin.Faults{LostRequests: 2})
		default:
			r.platform.SetFaults(standin.Faults{})
		}
		time.Sleep(pause)
	}
}

func TestConcurrentChangesAreNeitherLostNorReverted(t *testing.T) {
	f := newFixture(t)
	f.apply(f.store(), initialChange())
	r := newRaceTest(f)
	for i := range r.watchers {
		waitFor(t, "the first version", func() bool { return r.watchers[i].Version() >= 1 })
	}

	ctx, cancel := context.WithCancel(context.Background())
	var faults sync.WaitGroup
	faults.Go(func() { r.injectFaults(ctx) })
	var writers errgroup.Group
	for team := range raceTeams {
		for writer := range writersPerTeam {
			writers.Go(func() error { return r.runWriter(team, writer) })
		}
	}
	err := writers.Wait()
	cancel()
	faults.Wait()
	if err != nil {
		t.Fatal(err)
	}
	r.checkHistory()
	r.checkHosts()
}

func (r *raceTest) runWriter(team, writer int) error {
	random := rand.New(rand.NewPCG(raceSeed, uint64(team*writersPerTeam+writer+1)))
	for i := range changesPerWriter() {
		id := fmt.Sprintf("%d-%d-%d", team, writer, i)
		c := change(raceTeamPath(team), raceTeamBody(team, fmt.Sprintf("%d%02d", writer, i)))
		c.Author = fmt.Sprintf("writer %d of team %d", writer, team)
		c.Principal = settings.TeamPrincipal(raceTeam(team), raceAdmin(team))
		if err := r.applyUntilAccepted(random, c, id); err != nil {
			return err
		}
	}
	return nil
}

// checkHistory compares the results reported to the writers with the history.
func (r *raceTest) checkHistory() {
	r.t.Helper()
	total := uint64(raceTeams*writersPerTeam*changesPerWriter()) + 1
	records, err := r.store().History(context.Background(), 0, 10*int(total))
	if err != nil {
		r.t.Fatal(err)
	}
	if uint64(len(records)) != total {
		r.t.Errorf("the history has %d changes, want %d", len(records), total)
	}
	inForce := make(map[string]string)
	writtenBy := make(map[string]uint64)
	for i, record := range records {
		if record.Version != uint64(i)+1 {
			r.t.Errorf("change %d has version %d", i+1, record.Version)
		}
		reported := r.accepted[record.ID]
		if i > 0 && reported.version != record.Version {
			r.t.Errorf("version %d is change %s, which was reported as version %d", record.Version, record.ID, reported.version)
		}
		if r.refused[record.ID] {
			r.t.Errorf("version %d was reported as refused", record.Version)
		}
		for _, edit := range record.Edits {
			if edit.Before != inForce[edit.Path] {
				r.t.Errorf("version %d records a previous body other than the one in force", record.Version)
			}
			if i > 0 && writtenBy[edit.Path] > reported.base {
				r.t.Errorf("version %d, based on version %d, overwrites version %d", record.Version, reported.base, writtenBy[edit.Path])
			}
			inForce[edit.Path] = edit.After
			writtenBy[edit.Path] = record.Version
		}
	}
}

// checkHosts checks that every host reaches the last version and the same documents,
// and that no host ever applied a version below its own.
func (r *raceTest) checkHosts() {
	r.t.Helper()
	want, head, err := r.store().At(context.Background(), 0)
	if err != nil {
		r.t.Fatal(err)
	}
	for i, w := range r.watchers {
		waitFor(r.t, "the last version on every host", func() bool { return w.Version() == head })
		tree, _ := w.Tree()
		if edits := tree.Diff(want.Documents()); len(edits) > 0 {
			r.t.Errorf("host %d differs from the store in %d documents", i, len(edits))
		}
		last := uint64(0)
		for _, version := range r.recorders[i].snapshot() {
			if version <= last {
				r.t.Errorf("host %d applied version %d after version %d", i, version, last)
			}
			last = version
		}
	}
}

// TestScanDuringChangesGivesAConsistentVersion scans the tree repeatedly while changes
// are committed. A scan may see only some of the concurrent changes; the replay after
// it must complete them.
func TestScanDuringChangesGivesAConsistentVersion(t *testing.T) {
	f := newFixture(t)
	store := f.store()
	f.apply(store, initialChange())
	const changes, readers = 60, 3
	var group errgroup.Group
	group.Go(func() error {
		for i := range changes {
			c := change("targets/t.json", fmt.Sprintf(`{"pool": "p", "dataCentre": "d", "address": "10.0.0.1:%d", "slots": 1}`, i+1))
			if i == 0 {
				c.Puts = append(c.Puts, settings.Document{Path: "pools/p.json", Body: `{"kind": "service", "maxQueue": 1}`})
			}
			if _, err := store.Apply(context.Background(), c); err != nil {
				return err
			}
		}
		return nil
	})
	for range readers {
		group.Go(func() error {
			for range changes / readers {
				if err := compareWithHistory(f, store); err != nil {
					return err
				}
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
}

// compareWithHistory scans the tree and compares it with the tree that the history
// gives for the same version.
func compareWithHistory(f *fixture, store *settings.Store) error {
	tree, version, err := settings.ScanForTest(context.Background(), f.table())
	if err != nil {
		return err
	}
	want, _, err := store.At(context.Background(), version)
	if err != nil {
		return err
	}
	if edits := tree.Diff(want.Documents()); len(edits) > 0 {
		return fmt.Errorf("version %d differs: %+v", version, edits)
	}
	return nil
}
