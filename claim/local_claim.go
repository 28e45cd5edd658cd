package claim

import "github.com/cornelyard/cornelyard/outcome"

// localClaim is a claim that this process made and that is not settled on the
// platform yet. Resends that reach this host are answered from it.
type localClaim struct {
	key    string
	digest Digest
	token  token
	// ended is closed when the request has reached its outcome; what follows is
	// set before that.
	ended    chan struct{}
	released bool
	response *StoredResponse
	refusal  *outcome.Refusal
}

func newLocalClaim(r Request, t token) *localClaim {
	return &localClaim{key: r.rowKey(), digest: r.Digest, token: t, ended: make(chan struct{})}
}

func (l *localClaim) end(f Result, released bool) {
	l.response, l.refusal, l.released = f.Response, f.Refusal, released
	close(l.ended)
}
