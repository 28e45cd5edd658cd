// Package pool runs the scheduling of pools: the owner side, which feeds one
// admission.Scheduler for each pool that this host owns, and the client side,
// through which an entry waits for a grant from the owner on any host.
//
// The owner of a pool in a data centre is selected by rendezvous hashing over the
// live hosts of that data centre. It keeps soft state only: a new owner rebuilds
// it from the entries' reports. No safety guarantee depends on there being a
// single owner.
package pool
