package test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cornelyard/cornelyard/ident"
	standinplatform "github.com/cornelyard/cornelyard/internal/standin/platform"
	"github.com/cornelyard/cornelyard/internal/testbed"
	"github.com/cornelyard/cornelyard/operator/api"
	"github.com/cornelyard/cornelyard/operator/client"
	"github.com/cornelyard/cornelyard/settings"
)

const (
	racersOfATeam = 2
	raceSeed      = 1
	// faultPeriod is how long each fault of the platform lasts.
	faultPeriod = 300 * time.Millisecond
	// freezeTime is how long one host is frozen.
	freezeTime = 3 * time.Second
	// outageTime is how long the platform is down while a host starts.
	outageTime = 2 * time.Second
)

// changesOfARacer returns 50, so that 500 changes race, and fewer in a short run.
func changesOfARacer() int {
	if testing.Short() {
		return 10
	}
	return 50
}

func racingTeam(team int) ident.Team { return ident.Team(fmt.Sprintf("racing-%d", team)) }

func racingToken(team int) string { return fmt.Sprintf("admin-%d", team) }

// racingDocument returns a document of a team that differs for each mark of
// digits.
func racingDocument(team int, mark string) settings.Document {
	body := fmt.Sprintf(
		`{"adminTokenHashes": [%q], "callerTokenHashes": ["%032x%032s"], "defaultTier": "standard"}`,
		settings.TokenHash(racingToken(team)), team+1, mark,
	)
	return settings.Document{Path: settings.TeamPrefix(racingTeam(team)) + "team.json", Body: body}
}

// settingsRace is a run of racing changes.
type settingsRace struct {
	cluster *testbed.Cluster
	clients [][]*client.Client

	mu sync.Mutex
	// landed holds, by id, the versions of the changes that were told to be
	// accepted, and bases the versions that they were made from.
	landed map[string]uint64
	bases  map[string]uint64
	// refused holds the ids of the changes that were told to be refused.
	refused map[string]bool
}

func newSettingsRace(t *testing.T, cluster *testbed.Cluster) *settingsRace {
	t.Helper()
	r := &settingsRace{
		cluster: cluster,
		landed:  make(map[string]uint64),
		bases:   make(map[string]uint64),
		refused: make(map[string]bool),
	}
	for team := range settingsTeam {
		var clients []*client.Client
		for host := range cluster.Hosts {
			clients = append(clients, operatorOf(t, cluster, host, racingToken(team)))
		}
		r.clients = append(r.clients, clients)
	}
	return r
}

// raceOne makes the changes of one racer, each through any host.
func (r *settingsRace) raceOne(team, racer int) error {
	random := rand.New(rand.NewPCG(raceSeed, uint64(team*racersOfATeam+racer+1)))
	for i := range changesOfARacer() {
		request := api.ApplyRequest{
			Author: fmt.Sprintf("racer %d", racer),
			Reason: "a race",
			Puts:   []settings.Document{racingDocument(team, fmt.Sprintf("%d%02d", racer, i))},
		}
		if err := r.land(random, team, fmt.Sprintf("%d-%d-%d", team, racer, i), request); err != nil {
			return err
		}
	}
	return nil
}

// land sends the change until it is accepted; after a conflict it is a new
// change with a new base.
func (r *settingsRace) land(random *rand.Rand, team int, id string, request api.ApplyRequest) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*bound)
	defer cancel()
	for try := 0; ; try++ {
		c := r.clients[team][random.IntN(len(r.cluster.Hosts))]
		documents, err := c.Documents(ctx, 0, settings.TeamPrefix(racingTeam(team)))
		if err != nil {
			return err
		}
		request.Base, request.ID = documents.Version, fmt.Sprintf("%s/%d", id, try)
		result, err := resend(ctx, c, request)
		if err == nil {
			r.note(func() { r.landed[request.ID], r.bases[request.ID] = result.Version, request.Base })
			return nil
		}
		var refusal *api.Error
		if !errors.As(err, &refusal) || refusal.Code != api.Conflict {
			return err
		}
		r.note(func() { r.refused[request.ID] = true })
	}
}

func (r *settingsRace) note(write func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	write()
}

// resend sends the change until its fate is known.
func resend(ctx context.Context, c *client.Client, request api.ApplyRequest) (settings.Result, error) {
	for {
		result, err := c.Apply(ctx, request)
		var refusal *api.Error
		again := errors.As(err, &refusal) && (refusal.Code == api.OutcomeUnknown || refusal.Code == api.Unavailable)
		if !again || ctx.Err() != nil {
			return result, err
		}
	}
}

// disturb injects faults of the platform until ctx ends, and leaves it healthy.
func (r *settingsRace) disturb(ctx context.Context) error {
	random := rand.New(rand.NewPCG(raceSeed, 0))
	faults := []standinplatform.Faults{
		{}, {Outage: true}, {LostConfirmations: 3}, {LostRequests: 3}, {DelayMs: 20},
	}
	for ctx.Err() == nil {
		if err := r.cluster.Platform.SetFaults(faults[random.IntN(len(faults))]); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
		case <-time.After(faultPeriod):
		}
	}
	return r.cluster.Platform.SetFaults(standinplatform.Faults{})
}

// disturbHosts freezes and wakes one host, then replaces another one while the
// platform is down.
func (r *settingsRace) disturbHosts(frozen, killed *testbed.Host) error {
	if err := frozen.Suspend(); err != nil {
		return err
	}
	time.Sleep(freezeTime)
	if err := frozen.Resume(); err != nil {
		return err
	}
	if err := r.cluster.Platform.SetFaults(standinplatform.Faults{Outage: true}); err != nil {
		return err
	}
	if err := killed.Kill(); err != nil {
		return err
	}
	if err := killed.Start(); err != nil {
		return err
	}
	time.Sleep(outageTime)
	return r.cluster.Platform.SetFaults(standinplatform.Faults{})
}

// run lets all racers race while the faults are injected.
func (r *settingsRace) run(frozen, killed *testbed.Host) error {
	var racers, faults errgroup.Group
	for team := range settingsTeam {
		for racer := range racersOfATeam {
			racers.Go(func() error { return r.raceOne(team, racer) })
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	faults.Go(func() error {
		if err := r.disturbHosts(frozen, killed); err != nil {
			return err
		}
		return r.disturb(ctx)
	})
	err := racers.Wait()
	stop()
	return errors.Join(err, faults.Wait())
}

// TestRacingChangesAreNeitherLostNorReverted races 500 changes of five teams
// over seven hosts, through lost confirmations, outages, a frozen host and a
// replaced one.
func TestRacingChangesAreNeitherLostNorReverted(t *testing.T) {
	cluster := startCluster(t, settingsSpec())
	r := newSettingsRace(t, cluster)
	frozen, killed := cluster.Hosts[4], cluster.Hosts[6]
	if err := r.run(frozen, killed); err != nil {
		t.Fatal(err)
	}
	head := r.checkHistory(t)
	checkInForce(t, head, cluster.Hosts...)
	events := eventsOf(t, cluster)
	checkNoHostWentBack(t, events)

	undisturbed := make(map[ident.Host]bool)
	for _, h := range cluster.Hosts {
		undisturbed[h.HostName()] = h != frozen && h != killed
	}
	lags := lagsOf(t, events, undisturbed)
	t.Logf("%d versions; in force after: median %dus, 99th percentile %dus, longest %dus",
		head, lags.ValueAtQuantile(50), lags.ValueAtQuantile(99), lags.Max())
	if longest := time.Duration(lags.Max()) * time.Microsecond; longest > inForceLimit {
		t.Errorf("a version was in force on a reachable host only after %v", longest)
	}
}

// checkHistory holds what the racers were told against the history and returns
// the newest version.
func (r *settingsRace) checkHistory(t *testing.T) uint64 {
	t.Helper()
	store := settings.NewStore(settings.StoreOptions{Table: r.cluster.PlatformClient})
	records, err := store.History(context.Background(), 0, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	if want := settingsTeam*racersOfATeam*changesOfARacer() + 1; len(records) != want {
		t.Errorf("the history has %d changes, want %d", len(records), want)
	}
	writtenBy := make(map[string]uint64)
	for _, record := range records[1:] {
		if r.landed[record.ID] != record.Version {
			t.Errorf("version %d is change %s, which was told version %d", record.Version, record.ID, r.landed[record.ID])
		}
		if r.refused[record.ID] {
			t.Errorf("version %d was told to be refused", record.Version)
		}
		for _, edit := range record.Edits {
			if writtenBy[edit.Path] > r.bases[record.ID] {
				t.Errorf("version %d, made from %d, reverts version %d", record.Version, r.bases[record.ID], writtenBy[edit.Path])
			}
			writtenBy[edit.Path] = record.Version
		}
	}
	return records[len(records)-1].Version
}
