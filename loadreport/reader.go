// Package loadreport fetches load reports from targets over HTTP.
//
// A target declared with reportsLoad answers GET /load with a JSON object:
// running and waiting are request counts, ageMs is the age of these counts in
// milliseconds.
package loadreport

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"github.com/cornelyard/cornelyard/admission"
	"github.com/cornelyard/cornelyard/internal/httpcheck"
	"github.com/cornelyard/cornelyard/settings"
)

// maxReportBytes limits the size of a report body.
const maxReportBytes = 64 << 10

// maxHeaderBytes limits the size of the head of a report.
const maxHeaderBytes = 64 << 10

// Error is the class of all errors returned by this package.
var Error = errs.Class("loadreport")

// Reader fetches load reports over HTTP.
type Reader struct {
	client *http.Client
	now    func() time.Time
}

// report is the response body of GET /load.
type report struct {
	Running int   `json:"running"`
	Waiting int   `json:"waiting"`
	AgeMs   int64 `json:"ageMs"`
}

// NewReader returns a Reader that takes the current time from now.
func NewReader(now func() time.Time) *Reader {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     time.Minute,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	return &Reader{client: &http.Client{Transport: httpcheck.Transport{Transport: transport}}, now: now}
}

// Load fetches the load report of a target. It sets no timeout of its own; the
// caller limits the call with ctx.
func (r *Reader) Load(ctx context.Context, target settings.Target) (admission.LoadReport, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+target.Address+"/load", nil)
	if err != nil {
		return admission.LoadReport{}, Error.Wrap(err)
	}
	response, err := r.client.Do(request)
	if err != nil {
		return admission.LoadReport{}, Error.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	return r.decode(target, response)
}

func (r *Reader) decode(target settings.Target, response *http.Response) (admission.LoadReport, error) {
	if response.StatusCode != http.StatusOK {
		return admission.LoadReport{}, Error.New("target %s answered GET /load with status %s, want 200", target.Name, response.Status)
	}
	var body report
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(&body); err != nil {
		return admission.LoadReport{}, Error.Wrap(err)
	}
	return admission.LoadReport{
		Target:  target.Name,
		Running: body.Running,
		Waiting: body.Waiting,
		At:      r.now().Add(-time.Duration(body.AgeMs) * time.Millisecond),
	}, nil
}
