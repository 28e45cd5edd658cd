package eventlog

import (
	"encoding/json"
	"errors"
)

// EndedRequest is a line with the event EventEnded: how a request ended. Fields that the line
// lacks are zero.
type EndedRequest struct {
	EventHeader
	HostClass  string `json:"host_class"`
	DataCentre string `json:"data_centre"`
	Team       string `json:"team"`
	Route      string `json:"route"`
	Pool       string `json:"pool"`
	Target     string `json:"target"`
	// PromptTokens is zero if the caller didn't state it.
	PromptTokens int `json:"prompt_tokens"`
	Dispatches   int `json:"dispatches"`
	// Queued, FirstEvent and Total are in milliseconds; FirstEvent is zero if there was none.
	Queued     int64  `json:"queued_ms"`
	FirstEvent int64  `json:"first_ms"`
	Total      int64  `json:"total_ms"`
	Status     int    `json:"status"`
	Outcome    string `json:"outcome"`
	Reason     string `json:"reason"`
	// Late is nil if the line doesn't say whether the request was late.
	Late *bool `json:"late"`
	// Peer is the host that responded to a request which was passed on. That host logs the
	// request too.
	Peer string `json:"peer"`
	// Represents is the number of requests that the line stands for.
	Represents int64 `json:"represents"`
}

// maxRepresented bounds what one line represents, so that the sum over millions of lines does not
// overflow.
const maxRepresented = 1 << 32

var (
	errNoTime   = errors.New("the line has no time")
	errNegative = errors.New("a count or a time is negative")
	errTooMany  = errors.New("the line represents more requests than a host can serve")
)

// ParseEndedRequest parses a line with the event EventEnded.
func ParseEndedRequest(object []byte) (EndedRequest, error) {
	var r EndedRequest
	if err := json.Unmarshal(object, &r); err != nil {
		return r, Error.Wrap(err)
	}
	if r.At.IsZero() {
		return r, Error.Wrap(errNoTime)
	}
	if min(r.Represents, r.Queued, r.FirstEvent, r.Total, int64(r.PromptTokens), int64(r.Dispatches)) < 0 {
		return r, Error.Wrap(errNegative)
	}
	if r.Represents > maxRepresented {
		return r, Error.Wrap(errTooMany)
	}
	if r.Represents == 0 {
		r.Represents = r.sampleInterval()
	}
	return r, nil
}

// sampleInterval returns the number of requests that a line stands for which doesn't say it,
// as those of builds before the field was added.
func (r *EndedRequest) sampleInterval() int64 {
	if r.Served() && r.Dispatches <= 1 {
		return ServedSampleInterval
	}
	return 1
}

// Served reports whether the caller got a whole response that is no server error.
func (r *EndedRequest) Served() bool { return r.Outcome == "" && r.Reason == "" && r.Status < 500 }
