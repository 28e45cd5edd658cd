package chatclient

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/cornelyard/cornelyard/internal/standin/service"
)

// ServiceResponse is what a caller of a plain service got.
type ServiceResponse struct {
	ResponseMetadata
	Body string
	// Echo is what a stand-in says that it received.
	Echo service.Echo
	// Err is the error that the answer holds.
	Err   *APIError
	Total time.Duration
}

// parse reads the body as an error of a host or as an echo of a stand-in, as
// far as it is one.
func (r *ServiceResponse) decodeBody() {
	var failed struct{ Error *APIError }
	if r.Status >= http.StatusBadRequest && json.Unmarshal([]byte(r.Body), &failed) == nil {
		r.Err = failed.Error
		return
	}
	_ = json.Unmarshal([]byte(r.Body), &r.Echo)
}
