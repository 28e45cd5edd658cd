// Package admission decides which queued request of one pool runs next and on
// which target, and which requests are shed, preempted or forwarded.
//
// A Scheduler is a deterministic state machine: its caller passes in every
// event with the time, and carries out the actions that Decide returns. It does
// no I/O, reads no clock, starts no goroutine and is not safe for concurrent
// use.
package admission
