package loadtable

import (
	"strconv"

	"github.com/cornelyard/cornelyard/eventlog"
	"github.com/cornelyard/cornelyard/outcome"
)

// refused reports whether the gateway answered that no target ran the request. A caller that
// left was not refused.
func refused(r *eventlog.EndedRequest) bool {
	return r.Outcome == string(outcome.NotRun) && r.Reason != string(outcome.CallerDisconnected)
}

func late(r *eventlog.EndedRequest) bool { return r.Late != nil && *r.Late }

// describeOutcome returns the value of the dimension Outcome.
func describeOutcome(r *eventlog.EndedRequest) string {
	switch {
	case r.Served() && late(r):
		return "late"
	case r.Served():
		return "served"
	case refused(r):
		return "refused:" + orMissing(r.Reason)
	case r.Reason != "":
		return "failed:" + orMissing(r.Reason)
	default:
		return "failed:status-" + strconv.Itoa(r.Status)
	}
}
