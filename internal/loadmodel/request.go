package loadmodel

import (
	"strconv"
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// request is one try of a caller.
type request struct {
	id    ident.Request
	class *RequestClass
	host  int
	// begun is when the caller asked first, arrived when it asked this time.
	begun   time.Duration
	arrived time.Duration
	retry   bool
	prompt  int
	output  int
	// guess is the caller's estimate of output.
	guess int

	prefillLeft float64
	tokensLeft  float64
	first       time.Duration
	// last is when it had its last event.
	last   time.Duration
	engine *engine
}

// leaves returns when the caller leaves if it has no further event.
func (r *request) leaves() time.Duration {
	return min(r.begun+r.class.Deadline, max(r.arrived, r.last)+patience)
}

// patience is how long callers wait for the next event.
const patience = 2 * time.Second

func (r *request) hostName() ident.Host { return ident.Host(strconv.Itoa(r.host)) }
