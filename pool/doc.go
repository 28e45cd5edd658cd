// Package pool runs the scheduling of pools: the owner side, which feeds one
// admission.Scheduler for each pool that this host owns, and the client side,
// through which an entry waits for a grant, wherever the owner is.
//
// The owner of a pool in a data centre is chosen by rendezvous hashing over the
// live hosts of that data centre. Its state is soft: a new owner rebuilds it
// from the entries' reports. No safety promise relies on there being one owner.
package pool
