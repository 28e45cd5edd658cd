package claim

import "github.com/cornelyard/cornelyard/outcome"

// localClaim is a claim of this process whose final state is not yet written to the
// platform. Repeated requests that reach this host get their response from it.
type localClaim struct {
	key    string
	digest Digest
	token  token
	// ended is closed when the outcome of the request is known. The fields below are
	// set before that.
	ended    chan struct{}
	released bool
	response *StoredResponse
	refusal  *outcome.Refusal
}

func newLocalClaim(r Request, t token) *localClaim {
	return &localClaim{key: r.rowKey(), digest: r.Digest, token: t, ended: make(chan struct{})}
}

func (l *localClaim) end(r Result, released bool) {
	l.response, l.refusal, l.released = r.Response, r.Refusal, released
	close(l.ended)
}
