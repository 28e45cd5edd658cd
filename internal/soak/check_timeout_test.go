package soak

import (
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/platform/platformtest"
)

func TestTimeoutsBeyondTheCallersAreDetected(t *testing.T) {
	const late = timeoutSlack + 100*time.Millisecond
	c := newCall("a", platformtest.PathRead, 0, "")
	c.started, c.request.Deadline = baseTime, deadline
	at := func(offset, timeout time.Duration) arrival {
		return arrival{Arrival: platformtest.Arrival{At: baseTime.Add(offset), Timeout: timeout}, target: &target{}}
	}
	first := at(0, deadline)
	held := at(late, deadline)
	held.target.faultSpans.list = []span{{from: baseTime, to: baseTime.Add(1)}}
	for _, test := range []struct {
		name  string
		a     arrival
		holds bool
	}{
		{"first", first, true},
		{"none", at(0, 0), false},
		{"too long", at(0, deadline+late), false},
		{"soon again", at(timeoutSlack, deadline), true},
		{"later with what is left", at(late, deadline-late), true},
		{"later with the whole", at(late, deadline), false},
		{"later over a link with a fault", held, true},
	} {
		if holds := timeoutHolds(c, first, test.a); holds != test.holds {
			t.Errorf("%s: holds %v, want %v", test.name, holds, test.holds)
		}
	}
}

func TestArrivalsWithoutTimeoutAreDetected(t *testing.T) {
	r := newTestRunner(t, newCall("a", platformtest.PathRead, 0, ""))
	r.callers.calls[0].request.Deadline = -time.Second
	r.sendToTarget(t, "a", 1)
	checkViolations(t, r.checkForwardedTimeouts(), 1)
}
