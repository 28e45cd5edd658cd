package target

import "net/http"

// HTTPResponse is a response whose header has arrived and whose body is yet to be
// read.
type HTTPResponse struct {
	*http.Response
	gate *sendGate
}

// Discard closes the connection because its remaining data cannot be trusted.
func (r *HTTPResponse) Discard() {
	r.gate.retire()
	_ = r.Body.Close()
}
