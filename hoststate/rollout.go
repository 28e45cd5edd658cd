package hoststate

import (
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/rollout"
)

// Rollout is what a host, or the hosts of a data centre, know of the rollout of a pool.
type Rollout struct {
	Pool     ident.Pool
	Progress rollout.Progress
	// Confirmation says whether the share in Progress may be used. It is sent as a share of
	// zero, by which hosts of earlier builds know that nothing is confirmed.
	Confirmation Confirmation
	// Report holds the sender's own evidence or, in an aggregate, that of all its hosts.
	Report rollout.Report
}

// Confirmation says what the sender of a rollout in progress knows from the store.
type Confirmation int

const (
	// Confirmed means that the share may be used if the sender is the deciding host.
	Confirmed Confirmation = iota
	// Unconfirmed means that the sender, which decides, has not yet heard from the store.
	Unconfirmed
	// StoreLost means that the store doesn't respond to the sender, which therefore leaves the
	// decisions to others.
	StoreLost
)
