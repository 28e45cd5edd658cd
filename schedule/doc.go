// Package schedule decides, for one host, which of its queued requests is dispatched
// to which target and which are refused.
//
// Each host schedules only its own requests. The hosts exchange the state of their
// queues and of their running requests, so that each decides on the load of all: a
// free slot goes to the host whose request comes first in the order that all hosts
// share. This state is a few milliseconds old, so two hosts occasionally take the same
// slot; the target then queues one of the requests briefly. No guarantee to callers
// depends on the hosts agreeing, and a host that receives no peer state schedules on
// what it observes itself.
//
// The package has no clock, performs no I/O and starts no goroutines.
package schedule
