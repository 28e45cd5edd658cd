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
	writersPerTeam = 2
	raceSeed       = 1
	// faultPeriod is how long each platform fault lasts.
	faultPeriod = 300 * time.Millisecond
	// suspendTime is how long one host is suspended.
	suspendTime = 3 * time.Second
	// outageTime is how long the platform is down while a host restarts.
	outageTime = 2 * time.Second
)

// changesPerWriter returns 50, which makes 500 concurrent changes in all, or 10 in
// short mode.
func changesPerWriter() int {
	if testing.Short() {
		return 10
	}
	return 50
}

func adminTeam(team int) ident.Team { return ident.Team(fmt.Sprintf("racing-%d", team)) }

func adminToken(team int) string { return fmt.Sprintf("admin-%d", team) }

// adminTeamDocument returns the document of a team. The digits, which are part of a
// token hash, make each version of the document different.
func adminTeamDocument(team int, digits string) settings.Document {
	body := fmt.Sprintf(
		`{"adminTokenHashes": [%q], "callerTokenHashes": ["%032x%032s"], "defaultTier": "standard"}`,
		settings.TokenHash(adminToken(team)), team+1, digits,
	)
	return settings.Document{Path: settings.TeamPrefix(adminTeam(team)) + "team.json", Body: body}
}

// settingsRace makes concurrent settings changes and records their results.
type settingsRace struct {
	cluster *testbed.Cluster
	clients [][]*client.Client

	mu sync.Mutex
	// accepted holds, by change id, the versions of the changes that were reported
	// as accepted, and baseVersions the versions that they were based on.
	accepted     map[string]uint64
	baseVersions map[string]uint64
	// rejected holds the ids of the changes that were reported as rejected.
	rejected map[string]bool
}

func newSettingsRace(t *testing.T, cluster *testbed.Cluster) *settingsRace {
	t.Helper()
	r := &settingsRace{
		cluster:      cluster,
		accepted:     make(map[string]uint64),
		baseVersions: make(map[string]uint64),
		rejected:     make(map[string]bool),
	}
	for team := range adminTeamCount {
		var clients []*client.Client
		for host := range cluster.Hosts {
			clients = append(clients, newOperatorClient(t, cluster, host, adminToken(team)))
		}
		r.clients = append(r.clients, clients)
	}
	return r
}

// runWriter makes the changes of one writer, each through a random host.
func (r *settingsRace) runWriter(team, writer int) error {
	random := rand.New(rand.NewPCG(raceSeed, uint64(team*writersPerTeam+writer+1)))
	for i := range changesPerWriter() {
		request := api.ApplyRequest{
			Author: fmt.Sprintf("writer %d", writer),
			Reason: "a concurrent change",
			Puts:   []settings.Document{adminTeamDocument(team, fmt.Sprintf("%d%02d", writer, i))},
		}
		if err := r.applyUntilAccepted(random, team, fmt.Sprintf("%d-%d-%d", team, writer, i), request); err != nil {
			return err
		}
	}
	return nil
}

// applyUntilAccepted sends the change until it is accepted. After a conflict it
// sends a new change, with a new id and a new base version.
func (r *settingsRace) applyUntilAccepted(random *rand.Rand, team int, id string, request api.ApplyRequest) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*testTimeout)
	defer cancel()
	for attempt := 0; ; attempt++ {
		c := r.clients[team][random.IntN(len(r.cluster.Hosts))]
		documents, err := c.Documents(ctx, 0, settings.TeamPrefix(adminTeam(team)))
		if err != nil {
			return err
		}
		request.Base, request.ID = documents.Version, fmt.Sprintf("%s/%d", id, attempt)
		result, err := applyUntilOutcomeKnown(ctx, c, request)
		if err == nil {
			r.withLock(func() { r.accepted[request.ID], r.baseVersions[request.ID] = result.Version, request.Base })
			return nil
		}
		var apiError *api.Error
		if !errors.As(err, &apiError) || apiError.Code != api.Conflict {
			return err
		}
		r.withLock(func() { r.rejected[request.ID] = true })
	}
}

func (r *settingsRace) withLock(update func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	update()
}

// applyUntilOutcomeKnown sends the change until it is known to be accepted or
// rejected.
func applyUntilOutcomeKnown(ctx context.Context, c *client.Client, request api.ApplyRequest) (settings.Result, error) {
	for {
		result, err := c.Apply(ctx, request)
		var apiError *api.Error
		retry := errors.As(err, &apiError) && (apiError.Code == api.OutcomeUnknown || apiError.Code == api.Unavailable)
		if !retry || ctx.Err() != nil {
			return result, err
		}
	}
}

// injectPlatformFaults injects random platform faults until ctx is done, then
// removes them.
func (r *settingsRace) injectPlatformFaults(ctx context.Context) error {
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

// injectHostFaults suspends and resumes one host, then kills and restarts another
// one during a platform outage.
func (r *settingsRace) injectHostFaults(suspended, killed *testbed.Host) error {
	if err := suspended.Suspend(); err != nil {
		return err
	}
	time.Sleep(suspendTime)
	if err := suspended.Resume(); err != nil {
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

// run runs all writers concurrently while the faults are injected.
func (r *settingsRace) run(suspended, killed *testbed.Host) error {
	var writers, faults errgroup.Group
	for team := range adminTeamCount {
		for writer := range writersPerTeam {
			writers.Go(func() error { return r.runWriter(team, writer) })
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	faults.Go(func() error {
		if err := r.injectHostFaults(suspended, killed); err != nil {
			return err
		}
		return r.injectPlatformFaults(ctx)
	})
	err := writers.Wait()
	stop()
	return errors.Join(err, faults.Wait())
}

// Makes 500 concurrent changes of five teams through seven hosts, with lost
// confirmations, platform outages, one host suspended and another one restarted. No
// accepted change may be lost or overwritten by one with an older base version.
func TestConcurrentChangesAreNeitherLostNorReverted(t *testing.T) {
	cluster := startCluster(t, settingsSpec())
	r := newSettingsRace(t, cluster)
	suspended, killed := cluster.Hosts[4], cluster.Hosts[6]
	if err := r.run(suspended, killed); err != nil {
		t.Fatal(err)
	}
	head := r.checkHistory(t)
	checkPropagated(t, head, cluster.Hosts...)
	events := readAllEvents(t, cluster)
	checkVersionsIncrease(t, events)

	unaffected := make(map[ident.Host]bool)
	for _, h := range cluster.Hosts {
		unaffected[h.ID()] = h != suspended && h != killed
	}
	lags := propagationLags(t, events, unaffected)
	t.Logf("%d versions; propagation delay: median %d us, 99th percentile %d us, maximum %d us",
		head, lags.ValueAtQuantile(50), lags.ValueAtQuantile(99), lags.Max())
	if longest := time.Duration(lags.Max()) * time.Microsecond; longest > propagationLimit {
		t.Errorf("a version took %v to be in force on a reachable host, longer than the limit", longest)
	}
}

// checkHistory compares the results that the writers got with the stored history
// and returns the latest version.
func (r *settingsRace) checkHistory(t *testing.T) uint64 {
	t.Helper()
	store := settings.NewStore(settings.StoreOptions{Table: r.cluster.PlatformClient})
	records, err := store.History(context.Background(), 0, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	if want := adminTeamCount*writersPerTeam*changesPerWriter() + 1; len(records) != want {
		t.Errorf("the history has %d records, want %d", len(records), want)
	}
	lastVersion := make(map[string]uint64)
	for _, record := range records[1:] {
		if r.accepted[record.ID] != record.Version {
			t.Errorf("version %d has change %s, which was reported as version %d", record.Version, record.ID, r.accepted[record.ID])
		}
		if r.rejected[record.ID] {
			t.Errorf("version %d has a change that was reported as rejected", record.Version)
		}
		for _, edit := range record.Edits {
			if lastVersion[edit.Path] > r.baseVersions[record.ID] {
				t.Errorf("version %d, based on %d, overwrites version %d", record.Version, r.baseVersions[record.ID], lastVersion[edit.Path])
			}
			lastVersion[edit.Path] = record.Version
		}
	}
	return records[len(records)-1].Version
}
