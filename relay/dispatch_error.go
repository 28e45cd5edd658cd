package relay

import (
	"net/http"

	"github.com/cornelyard/cornelyard/schedule"
)

// brokenError returns the error of a response that ended prematurely.
func brokenError(err error) *DispatchError {
	return &DispatchError{Result: schedule.Broken, Sent: true, Err: err}
}

func resultForStatus(status int) schedule.Result {
	if status >= http.StatusInternalServerError {
		return schedule.Failed
	}
	return schedule.Broken
}

// continuationError returns the error of a response that began to go on with a stream and doesn't.
func continuationError(err error) *DispatchError {
	return &DispatchError{Result: schedule.Failed, Sent: true, Err: err}
}
