package soak

import (
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/platform/platformtest"
)

func TestLaterArrivalsWithTooMuchTimeAreDetected(t *testing.T) {
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
		name          string
		a             arrival
		later, exceed bool
	}{
		{"first", first, false, false},
		{"soon again", at(timeoutSlack, deadline), false, false},
		{"later with what is left", at(late, deadline-late), true, false},
		{"later with the whole", at(late, deadline), true, true},
		{"later over a link with a fault", held, false, true},
	} {
		if later, exceed := isLaterArrival(first, test.a), endsTooLate(c, first, test.a); later != test.later || exceed != test.exceed {
			t.Errorf("%s: later %v, ends too late %v, want %v, %v", test.name, later, exceed, test.later, test.exceed)
		}
	}
}

func TestTimeoutsBeyondTheCallersAreDetected(t *testing.T) {
	r := newTestRunner(t, newCall("a", platformtest.PathRead, 0, ""), newCall("b", platformtest.PathRead, 0, ""))
	r.callers.calls[0].request.Deadline = 400 * time.Millisecond
	r.callers.calls[1].request.Deadline = time.Second
	r.sendToTarget(t, "a", 1)
	r.sendToTarget(t, "b", 1)
	checkViolations(t, r.checkForwardedTimeouts(), 1)
	if timeoutIsWithinCallers(r.callers.calls[1], arrival{}) {
		t.Error("an arrival without timeout was accepted")
	}
}

func TestManyLaterArrivalsWithTooMuchTimeAreDetected(t *testing.T) {
	c := newCall("a", platformtest.PathRead, 0, "")
	r := newTestRunner(t, c)
	c.request.Deadline = time.Second
	r.sendToTarget(t, "a", 1)
	// So long ago that what is sent now has more time than is left.
	c.started = time.Now().Add(-time.Minute)
	time.Sleep(timeoutSlack)
	r.sendToTarget(t, "a", maxLateTimeouts)
	checkViolations(t, r.checkForwardedTimeouts(), 0)
	r.sendToTarget(t, "a", 1)
	checkViolations(t, r.checkForwardedTimeouts(), 1)
}
