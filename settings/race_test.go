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
	faultPeriod    = 20 * time.Millisecond
	maxOutage      = 60 * time.Millisecond
)

// changesOfARacer returns 50, so that 500 changes race, and fewer in a short run.
func changesPerWriter() int {
	if testing.Short() {
		return 10
	}
	return 50
}

// race is a run of racing changes on several hosts.
type raceTest struct {
	*fixture
	stores   []*settings.Store
	watchers []*settings.Watcher
	events   []*eventLog

	mu sync.Mutex
	// landed holds, by id, the changes that were told to be accepted.
	accepted map[string]acceptedChange
	// refused holds the ids of the changes that were told to be refused.
	refused map[string]bool
}

// landedChange is an accepted change as its racer knows it.
type acceptedChange struct {
	base    uint64
	version uint64
}

func newRaceTest(s *fixture) *raceTest {
	r := &raceTest{fixture: s, accepted: make(map[string]acceptedChange), refused: make(map[string]bool)}
	for range raceHosts {
		events := &eventLog{}
		w := settings.NewWatcher(settings.WatcherOptions{Table: s.table(), Interval: interval, Recorder: events})
		r.events = append(r.events, events)
		r.watchers = append(r.watchers, w)
		r.stores = append(r.stores, settings.NewStore(settings.StoreOptions{Table: s.table(), Watcher: w, Timeout: waitTimeout}))
		s.run(w)
	}
	return r
}

// land applies the change, on any host, until it is in force.
func (r *raceTest) applyUntilAccepted(random *rand.Rand, c settings.Change, id string) error {
	for try := 0; ; try++ {
		host := random.IntN(raceHosts)
		c.Base = r.watchers[host].Version()
		c.ID = fmt.Sprintf("%s/%d", id, try)
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

// resend sends the change until its fate is known.
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

// disturb injects faults until ctx ends, and leaves the platform healthy.
func (r *raceTest) injectFaults(ctx context.Context) {
	random := rand.New(rand.NewPCG(raceSeed, 0))
	defer r.platform.SetFaults(standin.Faults{})
	for ctx.Err() == nil {
		pause := faultPeriod
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

func TestRacingChangesAreNeitherLostNorReverted(t *testing.T) {
	s := newSite(t)
	s.apply(s.store(), initialChange())
	r := newRaceTest(s)
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
		c.Author = fmt.Sprintf("racer %d of team %d", writer, team)
		c.Principal = settings.TeamPrincipal(raceTeam(team), raceAdmin(team))
		if err := r.applyUntilAccepted(random, c, id); err != nil {
			return err
		}
	}
	return nil
}

// checkHistory holds what the racers were told against the history.
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
			r.t.Errorf("version %d is change %s, which was told version %d", record.Version, record.ID, reported.version)
		}
		if r.refused[record.ID] {
			r.t.Errorf("version %d was told to be refused", record.Version)
		}
		for _, edit := range record.Edits {
			if edit.Before != inForce[edit.Path] {
				r.t.Errorf("version %d replaces something else than was in force", record.Version)
			}
			if i > 0 && writtenBy[edit.Path] > reported.base {
				r.t.Errorf("version %d, made from %d, reverts version %d", record.Version, reported.base, writtenBy[edit.Path])
			}
			inForce[edit.Path] = edit.After
			writtenBy[edit.Path] = record.Version
		}
	}
}

// checkHosts checks that every host reaches the last version and the same
// documents, and that none ever went back.
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
			r.t.Errorf("host %d differs in %d documents", i, len(edits))
		}
		last := uint64(0)
		for _, version := range r.events[i].all() {
			if version <= last {
				r.t.Errorf("host %d applied %d after %d", i, version, last)
			}
			last = version
		}
	}
}

// TestAScanDuringChangesGivesAWholeVersion reads the whole tree again and again
// while changes land.
func TestScanDuringChangesGivesAConsistentVersion(t *testing.T) {
	s := newSite(t)
	store := s.store()
	s.apply(store, initialChange())
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
				if err := compareWithHistory(s, store); err != nil {
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

// compareWithHistory scans the tree and compares it with the one that the
// history leads to.
func compareWithHistory(s *fixture, store *settings.Store) error {
	tree, version, err := settings.ScanForTest(context.Background(), s.table())
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
