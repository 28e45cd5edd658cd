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
	// inForceLimit is how long an accepted version may take until it is in force
	// on every reachable host, by the promise.
	inForceLimit = 5 * time.Second
	settingsTeam = 5
	// cutWatch is how long a host that is cut off is watched for news that it
	// must not get: several intervals of every duty that spreads them.
	cutWatch   = time.Second
	longestLag = 10 * time.Minute
)

// settingsSpec has seven hosts in three data centres, and teams that administer
// themselves.
func settingsSpec() testbed.Spec {
	spec := baseSpec()
	spec.Proxied = true
	spec.Hosts = append(append(hosts("west", 3), hosts("east", 2)...), hosts("south", 2)...)
	for i := range settingsTeam {
		spec.Teams = append(spec.Teams, testbed.TeamSpec{
			Name: racingTeam(i), Token: fmt.Sprintf("caller-%d", i), AdminToken: racingToken(i), DefaultTier: "standard",
		})
	}
	return spec
}

// operatorOf returns a client of all hosts that asks the given one first.
func operatorOf(t *testing.T, cluster *testbed.Cluster, first int, token string) *client.Client {
	t.Helper()
	var addresses []string
	for i := range cluster.Hosts {
		host := cluster.Hosts[(first+i)%len(cluster.Hosts)]
		addresses = append(addresses, host.Settings.OperatorAddress)
	}
	c := client.New(client.Options{Addresses: addresses, Token: token, Timeout: inForceLimit})
	t.Cleanup(c.Close)
	return c
}

// tierChange changes a document that all teams share.
func tierChange(id string, seconds int) api.ApplyRequest {
	body := fmt.Sprintf(`{"rank": 1, "defaultDeadline": "%ds"}`, seconds)
	return api.ApplyRequest{
		ID: id, Author: "operator", Reason: "a test",
		Puts: []settings.Document{{Path: "tiers/standard.json", Body: body}},
	}
}

func apply(t *testing.T, c *client.Client, request api.ApplyRequest) uint64 {
	t.Helper()
	result, err := c.Apply(context.Background(), request)
	if err != nil {
		t.Fatal(err)
	}
	return result.Version
}

// versionOn returns the settings version in force on the host, or zero.
func versionOn(host *testbed.Host) uint64 {
	c := host.OperatorClient()
	defer c.Close()
	status, err := c.Status(context.Background())
	if err != nil {
		return 0
	}
	for _, s := range status.Hosts {
		if s.Host == host.HostName() {
			return s.SettingsVersion
		}
	}
	return 0
}

// isolate replaces the faults between a data centre and all else.
func isolate(t *testing.T, cluster *testbed.Cluster, dc ident.DataCentre, f faultproxy.Faults) {
	t.Helper()
	for _, host := range cluster.Hosts {
		var err error
		if host.Settings.DataCentre == dc {
			err = cluster.SetPlatformFaults(host.HostName(), f)
		} else {
			err = cluster.SetDataCentreFaults(dc, host.Settings.DataCentre, f)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
}

// outside returns the hosts of all other data centres.
func outside(cluster *testbed.Cluster, dc ident.DataCentre) []*testbed.Host {
	return slices.DeleteFunc(slices.Clone(cluster.Hosts), func(h *testbed.Host) bool { return h.Settings.DataCentre == dc })
}

// isMissing reports whether the host cannot be reached by the first one.
func isMissing(c *client.Client, host ident.Host) bool {
	status, err := c.Status(context.Background())
	if err != nil {
		return false
	}
	return slices.ContainsFunc(status.Unreachable, func(u api.Unreachable) bool { return u.Host == host })
}

// checkInForce checks that the version comes into force on the hosts in time.
func checkInForce(t *testing.T, version uint64, reached ...*testbed.Host) {
	t.Helper()
	began := time.Now()
	for _, host := range reached {
		for versionOn(host) < version {
			if time.Since(began) > inForceLimit {
				t.Fatalf("version %d is not in force on %s after %v", version, host.HostName(), inForceLimit)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
}

// TestAnAcceptedChangeComesIntoForceEverywhere disturbs one host, or the
// platform, at a time.
func TestAnAcceptedChangeComesIntoForceEverywhere(t *testing.T) {
	cluster := startCluster(t, settingsSpec())
	operator := operatorOf(t, cluster, 0, testbed.OperatorToken)
	disturbed := cluster.Hosts[3]

	t.Run("undisturbed", func(t *testing.T) {
		checkInForce(t, apply(t, operator, tierChange("a-1", 11)), cluster.Hosts...)
	})
	t.Run("confirmation lost", func(t *testing.T) {
		setFaults(t, cluster, standinplatform.Faults{LostConfirmations: 1})
		checkInForce(t, apply(t, operator, tierChange("b-1", 12)), cluster.Hosts...)
	})
	t.Run("platform slow", func(t *testing.T) {
		setFaults(t, cluster, standinplatform.Faults{DelayMs: 1500})
		checkInForce(t, apply(t, operator, tierChange("slow-1", 18)), cluster.Hosts...)
		setFaults(t, cluster, standinplatform.Faults{})
	})
	t.Run("confirmation lost on a slow platform", func(t *testing.T) {
		setFaults(t, cluster, standinplatform.Faults{LostConfirmations: 1, DelayMs: 300})
		checkInForce(t, apply(t, operator, tierChange("slow-2", 19)), cluster.Hosts...)
		setFaults(t, cluster, standinplatform.Faults{})
	})
	t.Run("host cut off from the platform", func(t *testing.T) {
		if err := cluster.SetPlatformFaults(disturbed.HostName(), cut); err != nil {
			t.Fatal(err)
		}
		checkInForce(t, apply(t, operator, tierChange("c-1", 13)), cluster.Hosts...)
		if err := cluster.SetPlatformFaults(disturbed.HostName(), mended); err != nil {
			t.Fatal(err)
		}
	})
	t.Run("data centre cut off from all and joined again", func(t *testing.T) {
		isolate(t, cluster, "east", cut)
		version := apply(t, operator, tierChange("i-1", 21))
		checkInForce(t, version, outside(cluster, "east")...)
		time.Sleep(cutWatch)
		if got := versionOn(disturbed); disturbed.Settings.DataCentre != "east" || got >= version {
			t.Errorf("%s has version %d although it is cut off", disturbed.HostName(), got)
		}
		isolate(t, cluster, "east", mended)
		checkInForce(t, version, cluster.Hosts...)
	})
	t.Run("host frozen and woken", func(t *testing.T) {
		if err := disturbed.Suspend(); err != nil {
			t.Fatal(err)
		}
		until(t, "the frozen host is dead to the others", func() bool { return isMissing(operator, disturbed.HostName()) })
		version := apply(t, operator, tierChange("d-1", 14))
		version = max(version, apply(t, operator, tierChange("d-2", 15)))
		if err := disturbed.Resume(); err != nil {
			t.Fatal(err)
		}
		checkInForce(t, version, cluster.Hosts...)
	})
	t.Run("host started during an outage", func(t *testing.T) {
		version := apply(t, operator, tierChange("e-1", 16))
		if err := disturbed.Kill(); err != nil {
			t.Fatal(err)
		}
		setFaults(t, cluster, standinplatform.Faults{Outage: true})
		if err := disturbed.Start(); err != nil {
			t.Fatal(err)
		}
		checkInForce(t, version, disturbed)
		setFaults(t, cluster, standinplatform.Faults{})
	})
	t.Run("after an outage", func(t *testing.T) {
		setFaults(t, cluster, standinplatform.Faults{Outage: true})
		_, err := operator.Apply(context.Background(), tierChange("f-1", 17))
		checkCode(t, err, api.Unavailable)
		setFaults(t, cluster, standinplatform.Faults{})
		checkInForce(t, apply(t, operator, tierChange("f-1", 17)), cluster.Hosts...)
	})
	checkNoHostWentBack(t, eventsOf(t, cluster))
}

// TestARefusedChangeIsNowhereInForce sends changes that must be refused to
// every host.
func TestARefusedChangeIsNowhereInForce(t *testing.T) {
	cluster := startCluster(t, settingsSpec())
	own := api.ApplyRequest{
		ID: "own", Author: "team 0", Reason: "a test", Puts: []settings.Document{racingDocument(0, "1")},
	}
	others := api.ApplyRequest{
		ID: "others", Author: "team 0", Reason: "a test", Puts: []settings.Document{racingDocument(1, "1")},
	}
	faulty := tierChange("faulty", -1)
	late := tierChange("late", 20)
	late.Base = 1
	version := apply(t, operatorOf(t, cluster, 0, testbed.OperatorToken), tierChange("first", 19))
	cases := []struct {
		name    string
		token   string
		request api.ApplyRequest
		want    api.ErrorCode
	}{
		{"another team's subtree", racingToken(0), others, api.Forbidden},
		{"the shared subtree", racingToken(0), tierChange("shared", 20), api.Forbidden},
		{"no token", "", own, api.Unauthorized},
		{"faulty document", testbed.OperatorToken, faulty, api.Findings},
		{"written by another one meanwhile", testbed.OperatorToken, late, api.Conflict},
	}
	for i := range cluster.Hosts {
		for _, c := range cases {
			_, err := operatorOf(t, cluster, i, c.token).Apply(context.Background(), c.request)
			checkCode(t, err, c.want)
		}
	}
	last := apply(t, operatorOf(t, cluster, 0, racingToken(0)), own)
	if last != version+1 {
		t.Errorf("version %d came after %d, so that a refused change made a version", last, version)
	}
	checkInForce(t, last, cluster.Hosts...)
	for _, e := range eventsOf(t, cluster) {
		if e.Kind == timeline.SettingsApplied && e.Version > last {
			t.Errorf("%s has applied version %d", e.Host, e.Version)
		}
	}
}

func checkCode(t *testing.T, err error, want api.ErrorCode) {
	t.Helper()
	var refusal *api.Error
	if !errors.As(err, &refusal) || refusal.Code != want {
		t.Errorf("got %v, want %s", err, want)
	}
}

func setFaults(t *testing.T, cluster *testbed.Cluster, f standinplatform.Faults) {
	t.Helper()
	if err := cluster.Platform.SetFaults(f); err != nil {
		t.Fatal(err)
	}
}

func eventsOf(t *testing.T, cluster *testbed.Cluster) []timeline.Event {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	events, err := cluster.Events(ctx, cluster.Hosts...)
	if err != nil {
		t.Fatal(err)
	}
	return events
}

// checkNoHostWentBack checks that the versions of each host only rise.
func checkNoHostWentBack(t *testing.T, events []timeline.Event) {
	t.Helper()
	last := make(map[ident.Host]timeline.Event)
	for _, e := range events {
		if e.Kind != timeline.SettingsApplied {
			continue
		}
		if before, ok := last[e.Host]; ok && e.Version <= before.Version {
			t.Errorf("%s applied version %d after %d", e.Host, e.Version, before.Version)
		}
		last[e.Host] = e
	}
	if len(last) == 0 {
		t.Error("no host has applied a version")
	}
}

// lagsOf returns how long after a version was first in force anywhere it was
// so on the hosts, in microseconds.
func lagsOf(t *testing.T, events []timeline.Event, on map[ident.Host]bool) *hdrhistogram.Histogram {
	t.Helper()
	lags := hdrhistogram.New(1, longestLag.Microseconds(), 3)
	first := make(map[uint64]time.Time)
	reached := make(map[ident.Host]uint64)
	highest := uint64(0)
	for _, e := range events {
		if e.Kind != timeline.SettingsApplied {
			continue
		}
		for ; highest < e.Version; highest++ {
			first[highest+1] = e.Time.Time()
		}
		if !on[e.Host] {
			continue
		}
		for version := reached[e.Host] + 1; version <= e.Version; version++ {
			lag := e.Time.Time().Sub(first[version])
			if err := lags.RecordValue(max(lag.Microseconds(), 1)); err != nil {
				t.Fatal(err)
			}
		}
		reached[e.Host] = e.Version
	}
	return lags
}
