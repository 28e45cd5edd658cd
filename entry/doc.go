// Package entry accepts callers' requests, waits for a slot on a target,
// dispatches each request at most once and passes the answer back.
//
// The right to dispatch never leaves the entry that accepted the call. What a
// caller is told about execution follows from the target.SendLatch alone: "not-run"
// is said only if the latch of each dispatch was barred before it was set, or
// if the target itself promised that it ran nothing.
package entry
