package target

import "net/http"

// HTTPResponse is a response whose header has arrived and whose body is yet to be
// read.
type HTTPResponse struct {
	*http.Response
	gate *sendGate
}

// Record records that the response is taken for that to a request, which an ID names. It returns
// whether it is the first response over its connection, and whether the connection has brought one to
// this request before. A target may write an earlier response once more, so that only the first one
// over a connection needs nothing else to show which request it belongs to.
func (r *HTTPResponse) Record(id string) (first, repeated bool) {
	conn := r.gate.conn.Load()
	if conn == nil {
		return false, false
	}
	return conn.recordResponse(id)
}

// Discard closes the connection because its remaining data cannot be trusted.
func (r *HTTPResponse) Discard() {
	r.gate.retire()
	_ = r.Body.Close()
}
