package test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/standin/faultproxy"
	standinplatform "github.com/cornelyard/cornelyard/internal/standin/platform"
	"github.com/cornelyard/cornelyard/internal/testbed"
	"github.com/cornelyard/cornelyard/operator/api"
	"github.com/cornelyard/cornelyard/operator/client"
	"github.com/cornelyard/cornelyard/settings"
	"github.com/cornelyard/cornelyard/timeline"
)

const (
	// propagationLimit is the guaranteed time within which an accepted version is
	// in force on every reachable host.
	propagationLimit = 5 * time.Second
	adminTeamCount   = 5
	// isolationCheckTime is how long the test waits before it checks that an
	// isolated host got no update. It covers several intervals of each background
	// task that distributes updates.
	isolationCheckTime = time.Second
	maxRecordedLag     = 10 * time.Minute
)

// settingsSpec describes seven hosts in three data centres, and teams that manage
// their own settings.
func settingsSpec() testbed.Spec {
	spec := baseSpec()
	spec.Proxied = true
	spec.Hosts = append(append(hosts("west", 3), hosts("east", 2)...), hosts("south", 2)...)
	for i := range adminTeamCount {
		spec.Teams = append(spec.Teams, testbed.TeamSpec{
			Name: adminTeam(i), Token: fmt.Sprintf("caller-%d", i), AdminToken: adminToken(i), DefaultTier: "standard",
		})
	}
	return spec
}

// newOperatorClient returns a client of all hosts that tries the given host first.
func newOperatorClient(t *testing.T, cluster *testbed.Cluster, first int, token string) *client.Client {
	t.Helper()
	var addresses []string
	for i := range cluster.Hosts {
		host := cluster.Hosts[(first+i)%len(cluster.Hosts)]
		addresses = append(addresses, host.Settings.OperatorAddress)
	}
	c := client.New(client.Options{Addresses: addresses, Token: token, Timeout: propagationLimit})
	t.Cleanup(c.Close)
	return c
}

// tierChange returns a change to a document that all teams share.
func tierChange(id string, seconds int) api.ApplyRequest {
	body := fmt.Sprintf(`{"rank": 1, "defaultDeadline": "%ds"}`, seconds)
	return api.ApplyRequest{
		ID: id, Author: "operator", Reason: "a test",
		Puts: []settings.Document{{Path: "tiers/standard.json", Body: body}},
	}
}

func applyChange(t *testing.T, c *client.Client, request api.ApplyRequest) uint64 {
	t.Helper()
	result, err := c.Apply(context.Background(), request)
	if err != nil {
		t.Fatal(err)
	}
	return result.Version
}

// settingsVersionOn returns the settings version in force on the host, or 0 if the
// host does not answer.
func settingsVersionOn(host *testbed.Host) uint64 {
	c := host.OperatorClient()
	defer c.Close()
	status, err := c.Status(context.Background())
	if err != nil {
		return 0
	}
	for _, s := range status.Hosts {
		if s.Host == host.ID() {
			return s.SettingsVersion
		}
	}
	return 0
}

// setIsolationFaults replaces the faults on all links between a data centre and the
// other data centres and the platform.
func setIsolationFaults(t *testing.T, cluster *testbed.Cluster, dc ident.DataCentre, f faultproxy.Faults) {
	t.Helper()
	for _, host := range cluster.Hosts {
		var err error
		if host.Settings.DataCentre == dc {
			err = cluster.SetPlatformFaults(host.ID(), f)
		} else {
			err = cluster.SetDataCentreFaults(dc, host.Settings.DataCentre, f)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
}

// hostsOutside returns the hosts of all other data centres.
func hostsOutside(cluster *testbed.Cluster, dc ident.DataCentre) []*testbed.Host {
	return slices.DeleteFunc(slices.Clone(cluster.Hosts), func(h *testbed.Host) bool { return h.Settings.DataCentre == dc })
}

// isUnreachable reports whether the client's first host lists the host as
// unreachable.
func isUnreachable(c *client.Client, host ident.Host) bool {
	status, err := c.Status(context.Background())
	if err != nil {
		return false
	}
	return slices.ContainsFunc(status.Unreachable, func(u api.Unreachable) bool { return u.Host == host })
}

// checkPropagated checks that the version is in force on the hosts within
// propagationLimit.
func checkPropagated(t *testing.T, version uint64, reachable ...*testbed.Host) {
	t.Helper()
	start := time.Now()
	for _, host := range reachable {
		for settingsVersionOn(host) < version {
			if time.Since(start) > propagationLimit {
				t.Fatalf("version %d is not in force on %s after %v", version, host.ID(), propagationLimit)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
}

// An accepted change must be in force on all reachable hosts within
// propagationLimit, with a fault of one host, one data centre or the platform at a
// time.
func TestAcceptedChangePropagatesToAllHosts(t *testing.T) {
	cluster := startCluster(t, settingsSpec())
	operator := newOperatorClient(t, cluster, 0, testbed.OperatorToken)
	faulty := cluster.Hosts[3]

	t.Run("no fault", func(t *testing.T) {
		checkPropagated(t, applyChange(t, operator, tierChange("a-1", 11)), cluster.Hosts...)
	})
	t.Run("lost confirmation", func(t *testing.T) {
		setPlatformFaults(t, cluster, standinplatform.Faults{LostConfirmations: 1})
		checkPropagated(t, applyChange(t, operator, tierChange("b-1", 12)), cluster.Hosts...)
	})
	t.Run("slow platform", func(t *testing.T) {
		setPlatformFaults(t, cluster, standinplatform.Faults{DelayMs: 1500})
		checkPropagated(t, applyChange(t, operator, tierChange("slow-1", 18)), cluster.Hosts...)
		setPlatformFaults(t, cluster, standinplatform.Faults{})
	})
	t.Run("lost confirmation on a slow platform", func(t *testing.T) {
		setPlatformFaults(t, cluster, standinplatform.Faults{LostConfirmations: 1, DelayMs: 300})
		checkPropagated(t, applyChange(t, operator, tierChange("slow-2", 19)), cluster.Hosts...)
		setPlatformFaults(t, cluster, standinplatform.Faults{})
	})
	t.Run("host partitioned from the platform", func(t *testing.T) {
		if err := cluster.SetPlatformFaults(faulty.ID(), linkCut); err != nil {
			t.Fatal(err)
		}
		checkPropagated(t, applyChange(t, operator, tierChange("c-1", 13)), cluster.Hosts...)
		if err := cluster.SetPlatformFaults(faulty.ID(), linkHealthy); err != nil {
			t.Fatal(err)
		}
	})
	t.Run("data centre isolated and reconnected", func(t *testing.T) {
		setIsolationFaults(t, cluster, "east", linkCut)
		version := applyChange(t, operator, tierChange("i-1", 21))
		checkPropagated(t, version, hostsOutside(cluster, "east")...)
		time.Sleep(isolationCheckTime)
		if got := settingsVersionOn(faulty); faulty.Settings.DataCentre != "east" || got >= version {
			t.Errorf("%s got settings version %d although its data centre is isolated", faulty.ID(), got)
		}
		setIsolationFaults(t, cluster, "east", linkHealthy)
		checkPropagated(t, version, cluster.Hosts...)
	})
	t.Run("host suspended and resumed", func(t *testing.T) {
		if err := faulty.Suspend(); err != nil {
			t.Fatal(err)
		}
		waitUntil(t, "the suspended host to be unreachable", func() bool { return isUnreachable(operator, faulty.ID()) })
		version := applyChange(t, operator, tierChange("d-1", 14))
		version = max(version, applyChange(t, operator, tierChange("d-2", 15)))
		if err := faulty.Resume(); err != nil {
			t.Fatal(err)
		}
		checkPropagated(t, version, cluster.Hosts...)
	})
	t.Run("host restarted during an outage", func(t *testing.T) {
		version := applyChange(t, operator, tierChange("e-1", 16))
		if err := faulty.Kill(); err != nil {
			t.Fatal(err)
		}
		setPlatformFaults(t, cluster, standinplatform.Faults{Outage: true})
		if err := faulty.Start(); err != nil {
			t.Fatal(err)
		}
		checkPropagated(t, version, faulty)
		setPlatformFaults(t, cluster, standinplatform.Faults{})
	})
	t.Run("after an outage", func(t *testing.T) {
		setPlatformFaults(t, cluster, standinplatform.Faults{Outage: true})
		_, err := operator.Apply(context.Background(), tierChange("f-1", 17))
		checkErrorCode(t, err, api.Unavailable)
		setPlatformFaults(t, cluster, standinplatform.Faults{})
		checkPropagated(t, applyChange(t, operator, tierChange("f-1", 17)), cluster.Hosts...)
	})
	checkVersionsIncrease(t, readAllEvents(t, cluster))
}

// Sends changes that must be rejected to every host. None of them may create a
// version or be applied.
func TestRejectedChangeIsNotApplied(t *testing.T) {
	cluster := startCluster(t, settingsSpec())
	own := api.ApplyRequest{
		ID: "own", Author: "team 0", Reason: "a test", Puts: []settings.Document{adminTeamDocument(0, "1")},
	}
	others := api.ApplyRequest{
		ID: "others", Author: "team 0", Reason: "a test", Puts: []settings.Document{adminTeamDocument(1, "1")},
	}
	invalid := tierChange("faulty", -1)
	stale := tierChange("late", 20)
	stale.Base = 1
	version := applyChange(t, newOperatorClient(t, cluster, 0, testbed.OperatorToken), tierChange("first", 19))
	cases := []struct {
		name    string
		token   string
		request api.ApplyRequest
		want    api.ErrorCode
	}{
		{"subtree of another team", adminToken(0), others, api.Forbidden},
		{"the shared subtree", adminToken(0), tierChange("shared", 20), api.Forbidden},
		{"no token", "", own, api.Unauthorized},
		{"invalid document", testbed.OperatorToken, invalid, api.Findings},
		{"stale base version", testbed.OperatorToken, stale, api.Conflict},
	}
	for i := range cluster.Hosts {
		for _, c := range cases {
			_, err := newOperatorClient(t, cluster, i, c.token).Apply(context.Background(), c.request)
			checkErrorCode(t, err, c.want)
		}
	}
	last := applyChange(t, newOperatorClient(t, cluster, 0, adminToken(0)), own)
	if last != version+1 {
		t.Errorf("got version %d after %d, want the next one: a rejected change created a version", last, version)
	}
	checkPropagated(t, last, cluster.Hosts...)
	for _, e := range readAllEvents(t, cluster) {
		if e.Kind == timeline.SettingsApplied && e.Version > last {
			t.Errorf("%s applied version %d, which no accepted change created", e.Host, e.Version)
		}
	}
}

func checkErrorCode(t *testing.T, err error, want api.ErrorCode) {
	t.Helper()
	var apiError *api.Error
	if !errors.As(err, &apiError) || apiError.Code != want {
		t.Errorf("got error %v, want code %s", err, want)
	}
}

func setPlatformFaults(t *testing.T, cluster *testbed.Cluster, f standinplatform.Faults) {
	t.Helper()
	if err := cluster.Platform.SetFaults(f); err != nil {
		t.Fatal(err)
	}
}

func readAllEvents(t *testing.T, cluster *testbed.Cluster) []timeline.Event {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	events, err := cluster.Events(ctx, cluster.Hosts...)
	if err != nil {
		t.Fatal(err)
	}
	return events
}

// checkVersionsIncrease checks that each host applied settings versions in strictly
// increasing order.
func checkVersionsIncrease(t *testing.T, events []timeline.Event) {
	t.Helper()
	last := make(map[ident.Host]timeline.Event)
	for _, e := range events {
		if e.Kind != timeline.SettingsApplied {
			continue
		}
		if previous, ok := last[e.Host]; ok && e.Version <= previous.Version {
			t.Errorf("%s applied version %d after %d", e.Host, e.Version, previous.Version)
		}
		last[e.Host] = e
	}
	if len(last) == 0 {
		t.Error("no host applied a settings version")
	}
}

// propagationLags returns the delays, in microseconds, between the first time that
// a version was in force on any host and the time it was on each included host.
func propagationLags(t *testing.T, events []timeline.Event, included map[ident.Host]bool) *hdrhistogram.Histogram {
	t.Helper()
	lags := hdrhistogram.New(1, maxRecordedLag.Microseconds(), 3)
	firstApplied := make(map[uint64]time.Time)
	lastApplied := make(map[ident.Host]uint64)
	highest := uint64(0)
	for _, e := range events {
		if e.Kind != timeline.SettingsApplied {
			continue
		}
		for ; highest < e.Version; highest++ {
			firstApplied[highest+1] = e.Time.Time()
		}
		if !included[e.Host] {
			continue
		}
		for version := lastApplied[e.Host] + 1; version <= e.Version; version++ {
			lag := e.Time.Time().Sub(firstApplied[version])
			if err := lags.RecordValue(max(lag.Microseconds(), 1)); err != nil {
				t.Fatal(err)
			}
		}
		lastApplied[e.Host] = e.Version
	}
	return lags
}
