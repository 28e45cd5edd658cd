package soak

import (
	"net/http"
	"testing"

	"github.com/cornelyard/cornelyard/platform/platformtest"
)

// partOf returns a call that brought one event of a stream, or took it up.
func partOf(first *call, id, version string, event int) *call {
	c := newCall(id, platformtest.PathResumable, http.StatusOK, versionComment(version)+streamEvent(id, event))
	c.takesUp = first
	return c
}

func TestStreamsOfTwoVersionsAreDetected(t *testing.T) {
	var calls []*call
	for _, id := range []string{"a", "b", "c", "d"} {
		first := partOf(nil, id, "v1", 0)
		calls = append(calls, first, partOf(first, id+"-1", "v2", 1))
	}
	whole := partOf(nil, "e", "v2", 0)
	calls = append(calls, whole, partOf(whole, "e-1", "v2", 1))
	checkViolations(t, newTestRunner(t, calls...).checkStreamVersions(), len(calls)/2-1-maxMixedStreams)
}

func TestStreamsThatDoNotGoOnAreDetected(t *testing.T) {
	first := partOf(nil, "a", "v1", 0)
	calls := []*call{first}
	for range minTakenUp {
		refused := newCall("b", platformtest.PathResumable, http.StatusServiceUnavailable, "")
		refused.takesUp = first
		calls = append(calls, refused)
	}
	checkViolations(t, newTestRunner(t, calls...).checkTakenUpStreams(), 1)
	checkViolations(t, newTestRunner(t, calls[:minTakenUp]...).checkTakenUpStreams(), 0)
}
