// Package admission decides which queued request of one pool runs next and
// where, and which requests are shed, preempted or forwarded.
//
// A Scheduler is a deterministic state machine: callers pass in every event
// together with the time, and take out the actions that Decide returns. It does
// no I/O, reads no clock, starts no goroutine and is not safe for concurrent use.
package admission
