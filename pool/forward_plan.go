package pool

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/outcome"
)

// forwardPlan holds the data centres that a forwarded request has yet to try, and
// the refusal to return if none of them accepts it.
type forwardPlan struct {
	remaining []ident.DataCentre
	refusal   *outcome.Refusal
	// since is when the current data centre was first tried.
	since time.Time
}
