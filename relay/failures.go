package relay

import (
	"net/http"

	"github.com/cornelyard/cornelyard/schedule"
)

// broken is the failure of an answer that ended early.
func broken(err error) *DispatchError {
	return &DispatchError{Result: schedule.Broken, Sent: true, Err: err}
}

func brokenResult(status int) schedule.Result {
	if status >= http.StatusInternalServerError {
		return schedule.Failed
	}
	return schedule.Broken
}
