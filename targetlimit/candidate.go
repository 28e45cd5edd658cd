package targetlimit

import "github.com/cornelyard/cornelyard/ident"

// Candidate is a host that may become a keeper of a target.
type Candidate struct {
	Host ident.Host
	// ArrivalRate is the requests per second that reach the host for the target's pool.
	ArrivalRate float64
	// Claim is the rate that the host last reported for the target.
	Claim float64
}
