package chatclient

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/cornelyard/cornelyard/internal/standin/service"
)

// ServiceResponse is the response of a plain service.
type ServiceResponse struct {
	ResponseMetadata
	Body string
	// Echo is what a stand-in service reports to have received.
	Echo service.Echo
	// Err is the error in the response body.
	Err   *APIError
	Total time.Duration
}

// decodeBody decodes the body as an error of a host or as the echo of a stand-in. A
// body that is neither is ignored.
func (r *ServiceResponse) decodeBody() {
	var failed struct{ Error *APIError }
	if r.Status >= http.StatusBadRequest && json.Unmarshal([]byte(r.Body), &failed) == nil {
		r.Err = failed.Error
		return
	}
	_ = json.Unmarshal([]byte(r.Body), &r.Echo)
}
