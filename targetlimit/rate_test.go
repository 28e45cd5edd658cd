package targetlimit

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	"github.com/cornelyard/cornelyard/ident"
)

func hostsWithRate(n int, arrivalRate float64) []Candidate {
	var candidates []Candidate
	for i := range n {
		candidates = append(candidates, Candidate{Host: ident.Host(fmt.Sprintf("h%d", i)), ArrivalRate: arrivalRate})
	}
	return candidates
}

func sumOfRates(perSecond, share float64, candidates []Candidate) (sum float64, keepers int) {
	for _, c := range candidates {
		rate := Rate("t", perSecond, share, c.Host, candidates)
		sum += rate
		if rate > 0 {
			keepers++
		}
	}
	return sum, keepers
}

func TestRatesAddUpToTheLimit(t *testing.T) {
	for _, c := range []struct {
		hosts              int
		perSecond, arrival float64
		keepers            int
	}{
		{1, 1, 10, 1},
		{3, 1.2, 20, 1},
		{16, 5, 2, 4},
		{60, 1, 0.4, 4},
		{60, 2.5, 4, 1},
		{60, 1, 0, 1},
	} {
		sum, keepers := sumOfRates(c.perSecond, 1, hostsWithRate(c.hosts, c.arrival))
		if math.Abs(sum-c.perSecond) > 1e-9 || keepers != c.keepers {
			t.Errorf("%+v: %d keepers with %f in all", c, keepers, sum)
		}
	}
}

func TestHostWithoutRequestsIsNoKeeper(t *testing.T) {
	candidates := hostsWithRate(5, 10)
	for i := range candidates {
		if Rate("t", 1, 1, candidates[i].Host, candidates) > 0 {
			candidates[i].ArrivalRate = 0
			break
		}
	}
	if sum, _ := sumOfRates(1, 1, candidates); math.Abs(sum-1) > 1e-9 {
		t.Errorf("the rates add up to %f, want 1", sum)
	}
	for _, c := range candidates {
		if c.ArrivalRate == 0 && Rate("t", 1, 1, c.Host, candidates) > 0 {
			t.Error("the host that no requests reach is a keeper")
		}
	}
}

func TestVerySmallLimitIsStillHeard(t *testing.T) {
	for _, perSecond := range []float64{0, 0.01} {
		if sum, _ := sumOfRates(perSecond, 1, hostsWithRate(7, 10)); sum != minPerSecond {
			t.Errorf("limit %f: the rates add up to %f, want %f", perSecond, sum, minPerSecond)
		}
	}
}

func TestShareOfGroupsAddsUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := rapid.IntRange(1, 320).Draw(t, "hosts")
		sum, left := 0.0, all
		for left > 0 {
			group := rapid.IntRange(1, left).Draw(t, "group")
			sum += Share(group, all)
			left -= group
		}
		if sum > 1.5 {
			t.Fatalf("the groups use %f of each limit", sum)
		}
	})
}

// A host whose states another one does not receive reduces its rate by what that one claims.
func TestClaimOfAnotherViewIsLeftToIt(t *testing.T) {
	candidates := hostsWithRate(4, 10)
	keeper, other := -1, 0
	for i := range candidates {
		if Rate("t", 1, 1, candidates[i].Host, candidates) > 0 {
			keeper = i
		} else {
			other = i
		}
	}
	candidates[other].Claim = 0.75
	if rate := Rate("t", 1, 1, candidates[keeper].Host, candidates); math.Abs(rate-0.25) > 1e-9 {
		t.Errorf("the keeper has rate %f, want 0.25", rate)
	}
}
