package schedule_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/internal/loadmodel"
)

// TestSmallTeamIsServedBesideHostsWithoutShares guards against shares that do harm while only some
// hosts know them: in the load of sharedPool, with half of the hosts of a former build, a small
// team is served no worse than with all of them.
func TestSmallTeamIsServedBesideHostsWithoutShares(t *testing.T) {
	if testing.Short() {
		t.Skip("simulates many seconds in one goroutine; runs without -short")
	}
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			outcomes := make(map[int]map[string]*loadmodel.Outcome)
			for _, former := range []int{6, 3, 0} {
				setup := sharedPool(seed)
				setup.HostsWithoutShares = former
				setup.Bursts = []loadmodel.Burst{{From: setup.Length, To: time.Hour}}
				setup.Length += setup.Classes[0].Deadline
				outcomes[former] = loadmodel.Run(setup).Classes
				t.Logf("%d hosts without shares: small %+v, large %+v", former, *outcomes[former]["small"], *outcomes[former]["large"])
			}
			before, mixed := outcomes[6]["small"], outcomes[3]["small"]
			if mixed.OnTimeRatio() < before.OnTimeRatio() {
				t.Errorf("%.3f of the requests of the small team on time, %.3f with the former build only", mixed.OnTimeRatio(), before.OnTimeRatio())
			}
		})
	}
}
