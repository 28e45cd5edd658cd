package chatclient

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// requestOptions are the options that calls of both kinds have.
type requestOptions struct {
	tier          ident.Tier
	deadline      time.Duration
	key           string
	nonIdempotent bool
}

func (o requestOptions) setHeaders(header http.Header) {
	if o.tier != "" {
		header.Set("X-Cornelyard-Tier", string(o.tier))
	}
	if o.deadline > 0 {
		header.Set("X-Cornelyard-Deadline-Ms", strconv.FormatInt(o.deadline.Milliseconds(), 10))
	}
	if o.key != "" {
		header.Set("Idempotency-Key", o.key)
	}
	if o.nonIdempotent {
		header.Set("X-Cornelyard-Non-Idempotent", "true")
	}
}
