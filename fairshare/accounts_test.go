package fairshare_test

import (
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/fairshare"
	"github.com/cornelyard/cornelyard/ident"
)

var start = time.Unix(1_000_000, 0)

// server grants one request at a time to the team with the lowest level.
type server struct {
	accounts *fairshare.Accounts
	now      time.Time
	// cost is the slot time of the requests of each team that waits, in seconds.
	cost    map[ident.Team]float64
	granted map[ident.Team]float64
}

func newServer() *server {
	return &server{
		accounts: fairshare.NewAccounts(), now: start,
		cost: make(map[ident.Team]float64), granted: make(map[ident.Team]float64),
	}
}

// run grants requests for a duration and returns what each team got, in seconds.
func (s *server) run(duration time.Duration) map[ident.Team]float64 {
	clear(s.granted)
	for end := s.now.Add(duration); s.now.Before(end); {
		queued := make(map[fairshare.Key]float64)
		for team, cost := range s.cost {
			queued[fairshare.Key{Team: team}] = cost
		}
		s.accounts.ReplaceOwnQueued(s.now, queued)
		var next fairshare.Key
		least := -1.0
		for key := range queued {
			if level := s.accounts.Level(s.now, key); least < 0 || level < least {
				next, least = key, level
			}
		}
		cost := s.cost[next.Team]
		s.accounts.Charge(s.now, next, cost)
		s.granted[next.Team] += cost
		s.now = s.now.Add(time.Duration(cost * float64(time.Second)))
	}
	return s.granted
}

// TestSharesAreOfTimeNotOfRequests guards against shares by the number of requests, and against
// large requests that starve: two teams that always wait get the same time, to within one
// request of each.
func TestSharesAreOfTimeNotOfRequests(t *testing.T) {
	s := newServer()
	s.cost["large"], s.cost["small"] = 0.2, 0.01
	granted := s.run(10 * time.Second)
	// Each is to get half; the accounts may differ by a request in each time constant.
	if part := granted["large"] / (granted["large"] + granted["small"]); part < 0.45 || part > 0.55 {
		t.Errorf("large requests got %.3f of the capacity, want half", part)
	}
}

// TestIdleTeamSavesUpNoCredit guards against a team that takes all capacity after a pause. What
// it gets beyond half of the first second is at most the age of a report, 0.2 s.
func TestIdleTeamSavesUpNoCredit(t *testing.T) {
	s := newServer()
	s.cost["busy"] = 0.01
	s.run(10 * time.Second)
	s.cost["idle"] = 0.01
	if granted := s.run(time.Second); granted["idle"] < 0.5-0.01 || granted["idle"] > 0.5+0.2 {
		t.Errorf("a team that was idle got %.3f s of the first second, want 0.5 to 0.7", granted["idle"])
	}
}

// TestRestartedHostFollowsReports guards against a host that orders teams by its own use alone.
func TestRestartedHostFollowsReports(t *testing.T) {
	a := fairshare.NewAccounts()
	used, fresh := fairshare.Key{Team: "used"}, fairshare.Key{Team: "fresh"}
	a.ReplaceOthers(start, map[fairshare.Key]fairshare.Load{used: {Used: 2, Queued: 1}, fresh: {Used: 1, Queued: 1}})
	if a.Level(start, used) <= a.Level(start, fresh) {
		t.Error("the team that used more comes first")
	}
	if share, known := a.AheadShare(start, used, a.Level(start, used), 0); !known || share != 0.5 {
		t.Errorf("%v of the requests of others come first, want the half of the other team", share)
	}
}
