package target

import "net/http"

// Reply is the head of an answer with the body behind it.
type Reply struct {
	*http.Response
	gate *gate
}

// Discard closes the connection, because what comes on it is not to be trusted.
func (r *Reply) Discard() {
	r.gate.retire()
	_ = r.Body.Close()
}
