package soak

import (
	"net/http"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/platform/platformtest"
)

func TestCallsThatARevokedKeyMakesAreDetected(t *testing.T) {
	newGuestCall := func(id string, status int, after time.Duration) *call {
		c := newCall(id, platformtest.PathRead, status, "")
		c.guest, c.finished = true, baseTime.Add(after+time.Millisecond)
		return c
	}
	calls := []*call{
		newGuestCall("before", http.StatusUnauthorized, 0),
		newGuestCall("refused", http.StatusUnauthorized, time.Second+2*propagationTime),
		newGuestCall("served", http.StatusOK, time.Second+2*propagationTime),
		newGuestCall("ran", http.StatusBadGateway, time.Second+2*propagationTime),
	}
	r := newTestRunner(t, calls...)
	for _, c := range calls {
		c.started = c.finished.Add(-time.Millisecond)
	}
	u := &upgrade{revoked: baseTime.Add(time.Second)}
	r.sendToTarget(t, "ran", 1)
	checkViolations(t, u.checkRevokedKey(calls, r.system.receivedTimes()), 3)
}

func TestRolloutsWithoutEndAreDetected(t *testing.T) {
	store := platformtest.NewStore()
	defer store.Close()
	u := &upgrade{rollout: rolloutOrder{ordered: baseTime, store: store}}
	for status, violations := range map[string]int{
		"": 1, `{"state":"in_progress","target":"v2"}`: 1, `{"state":"completed","target":"v1"}`: 1,
		`{"state":"completed","target":"v2"}`: 0, `{"state":"rolled_back","target":"v2"}`: 0,
	} {
		store.Put("status", "rollout/"+platformtest.Service, status)
		checkViolations(t, u.checkRollout(), violations)
	}
}
