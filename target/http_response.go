package target

import "net/http"

// HTTPResponse is the head of an answer with the body behind it.
type HTTPResponse struct {
	*http.Response
	gate *sendGate
}

// Discard closes the connection, because what comes on it is not to be trusted.
func (r *HTTPResponse) Discard() {
	r.gate.retire()
	_ = r.Body.Close()
}
