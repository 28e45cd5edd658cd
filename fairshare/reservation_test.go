package fairshare_test

import (
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/fairshare"
)

// TestPromisedRequestsAreDueWhenTheyReturn guards against a Retry-After that points to a time in
// which the request is not due, also if less is granted by then or clocks differ by 40 ms.
func TestPromisedRequestsAreDueWhenTheyReturn(t *testing.T) {
	const nowMs = 1_000_000_123
	promised := 0
	for digest := range uint64(2000) {
		wait, ok := fairshare.NewReservation("p", digest, nowMs, 0.5).Promise(2 * time.Second)
		if !ok {
			continue
		}
		promised++
		for _, deviation := range []int64{-40, 0, 40} {
			if r := fairshare.NewReservation("p", digest, nowMs+wait.Milliseconds()+deviation, 0.4); !r.Due() {
				t.Errorf("request %d returns after %v %+d ms and is not due", digest, wait, deviation)
			}
		}
	}
	if promised == 0 {
		t.Error("no capacity is reserved")
	}
}

// TestDueLaterThanTheCallerWaitsIsNotPromised guards against reservations that nobody can use.
func TestDueLaterThanTheCallerWaitsIsNotPromised(t *testing.T) {
	const limit = 300 * time.Millisecond
	for digest := range uint64(500) {
		if wait, ok := fairshare.NewReservation("p", digest, 5000, 0.9).Promise(limit); ok && wait > limit {
			t.Errorf("capacity is reserved in %v, the caller waits for %v", wait, limit)
		}
	}
}

// TestAttemptsShortlyAfterEachOtherHaveOneResult guards against callers that gain by returning at
// once: of those refused, an eighth of a cycle later at most an eighth have another result.
func TestAttemptsShortlyAfterEachOtherHaveOneResult(t *testing.T) {
	refused, changed := 0, 0
	for digest := range uint64(4000) {
		granted := func(nowMs int64) bool {
			r := fairshare.NewReservation("p", digest, nowMs, 0.3)
			return r.Due() || r.Granted(0.3)
		}
		if granted(7_000) {
			continue
		}
		refused++
		if granted(7_100) {
			changed++
		}
	}
	if changed > refused/8 {
		t.Errorf("%d of %d refused requests granted 100 ms later, want at most an eighth", changed, refused)
	}
}
