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
func (a *ServiceResponse) parse() {
	var failed struct{ Error *APIError }
	if a.Status >= http.StatusBadRequest && json.Unmarshal([]byte(a.Body), &failed) == nil {
		a.Err = failed.Error
		return
	}
	_ = json.Unmarshal([]byte(a.Body), &a.Echo)
}
