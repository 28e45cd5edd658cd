package schedule_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/internal/loadmodel"
)

// sharedPool returns a pool of four engines that serve 200 requests per second, one team that
// sends 600 and one that sends 20, for six hosts.
func sharedPool(seed uint64) loadmodel.Scenario {
	class := loadmodel.RequestClass{
		Objective: 500 * time.Millisecond, Deadline: 3 * time.Second,
		Prompt: 1, Output: 10, Value: 1,
	}
	large, small := class, class
	large.Name, large.Team, large.PerSecond = "large", "large", 600
	small.Name, small.Team, small.PerSecond = "small", "small", 20
	return loadmodel.Scenario{
		Seed: seed, Length: 6 * time.Second, Hosts: 6,
		PeerStateDelay: 2 * time.Millisecond, MinPeerStateInterval: 8 * time.Millisecond,
		EngineSpeeds: []float64{1, 1, 1, 1}, Slots: 4,
		PrefillRate: 1e6, TokenTime: 8 * time.Millisecond,
		Classes: []loadmodel.RequestClass{large, small},
	}
}

// minOnTime is the share of the requests of a team with little demand that are on time.
const minOnTime = 0.9

func checkSmallTeam(t *testing.T, setup loadmodel.Scenario) {
	t.Helper()
	// No requests arrive in the time that the last callers wait, so that each one counts.
	setup.Bursts = []loadmodel.Burst{{From: setup.Length, To: time.Hour}}
	setup.Length += setup.Classes[0].Deadline
	report := loadmodel.Run(setup)
	small, large := report.Classes["small"], report.Classes["large"]
	t.Logf("small %+v, large %+v", *small, *large)
	if small.OnTimeRatio() < minOnTime {
		t.Errorf("%.3f of the requests of the small team on time, want %.2f", small.OnTimeRatio(), minOnTime)
	}
}

// TestSmallTeamIsServedBesideALargeOne guards against shares by the number of requests.
func TestSmallTeamIsServedBesideALargeOne(t *testing.T) {
	if testing.Short() {
		t.Skip("simulates many seconds in one goroutine; runs without -short")
	}
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { checkSmallTeam(t, sharedPool(seed)) })
	}
}

// TestSmallTeamIsServedWithManyHosts guards against shares that hold only at each host: with 71
// hosts, most have no request of the small team, and reports are 0.2 s old.
func TestSmallTeamIsServedWithManyHosts(t *testing.T) {
	if testing.Short() {
		t.Skip("simulates many seconds in one goroutine; runs without -short")
	}
	setup := sharedPool(1)
	setup.Hosts, setup.PeerStateDelay = 71, 200*time.Millisecond
	checkSmallTeam(t, setup)
}

// TestSmallTeamIsServedInACutDataCentre guards against shares that need the states of other data
// centres: each of two learns nothing from the other.
func TestSmallTeamIsServedInACutDataCentre(t *testing.T) {
	if testing.Short() {
		t.Skip("simulates many seconds in one goroutine; runs without -short")
	}
	setup := sharedPool(1)
	setup.DataCentres = 2
	checkSmallTeam(t, setup)
}

// TestSmallTeamIsServedAfterARestartOfAllHosts guards against shares that need a history: no
// host knows anything at the start, when the full load arrives.
func TestSmallTeamIsServedAfterARestartOfAllHosts(t *testing.T) {
	if testing.Short() {
		t.Skip("simulates many seconds in one goroutine; runs without -short")
	}
	setup := sharedPool(2)
	setup.Length = 2 * time.Second
	checkSmallTeam(t, setup)
}

// TestSmallTeamIsServedAmongCells is like TestSmallTeamIsServedWithManyHosts with the exchange of
// states of a fleet: up to 205 ms apart between cells.
func TestSmallTeamIsServedAmongCells(t *testing.T) {
	if testing.Short() {
		t.Skip("simulates many seconds in one goroutine; runs without -short")
	}
	setup := sharedPool(1)
	setup.Hosts, setup.FarPeerStateInterval = 71, 205*time.Millisecond
	checkSmallTeam(t, setup)
}

// TestLargestRequestsAreNotStarved guards against start tags that count a request's own size: a
// tenth of the requests of each team take ten times as long as the others.
func TestLargestRequestsAreNotStarved(t *testing.T) {
	if testing.Short() {
		t.Skip("simulates many seconds in one goroutine; runs without -short")
	}
	setup := sharedPool(1)
	classes := setup.Classes
	for i := range classes {
		largest := classes[i]
		largest.Name, largest.PerSecond, largest.Output = largest.Name+"-largest", largest.PerSecond/10, largest.Output*10
		setup.Classes = append(setup.Classes, largest)
	}
	report := loadmodel.Run(setup)
	for _, class := range classes {
		usual, largest := report.Classes[class.Name], report.Classes[class.Name+"-largest"]
		// Starved means served less than a quarter as often as the others.
		if largest.ServedRatio() < usual.ServedRatio()/4 {
			t.Errorf("%s: largest requests served %.3f, others %.3f", class.Name, largest.ServedRatio(), usual.ServedRatio())
		}
	}
}
