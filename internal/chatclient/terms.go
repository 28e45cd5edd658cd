package chatclient

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// terms are what a caller may ask for with any call.
type terms struct {
	tier          ident.Tier
	deadline      time.Duration
	key           string
	nonIdempotent bool
}

func (t terms) set(header http.Header) {
	if t.tier != "" {
		header.Set("X-Cornelyard-Tier", string(t.tier))
	}
	if t.deadline > 0 {
		header.Set("X-Cornelyard-Deadline-Ms", strconv.FormatInt(t.deadline.Milliseconds(), 10))
	}
	if t.key != "" {
		header.Set("Idempotency-Key", t.key)
	}
	if t.nonIdempotent {
		header.Set("X-Cornelyard-Non-Idempotent", "true")
	}
}
