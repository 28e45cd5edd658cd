package target

import "slices"

// maxAnswered bounds the requests that a connection remembers; the oldest are forgotten first.
const maxAnswered = 64

// answeredRequests holds the requests to which responses were received over a connection.
type answeredRequests struct {
	any bool
	ids []string
}

// add records the response to a request. It returns whether it is the first one over the connection,
// and whether it is not the first one to this request.
func (a *answeredRequests) add(id string) (first, repeated bool) {
	first, repeated = !a.any, slices.Contains(a.ids, id)
	a.any = true
	if repeated || id == "" {
		return first, repeated
	}
	a.ids = append(a.ids, id)
	if excess := len(a.ids) - maxAnswered; excess > 0 {
		a.ids = slices.Delete(a.ids, 0, excess)
	}
	return first, false
}
