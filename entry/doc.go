// Package entry accepts callers' requests, waits for a slot on a target,
// dispatches each request at most once and returns the response.
//
// Only the host that accepted a request may dispatch it. The reported outcome
// follows from target.SendLatch alone: "not-run" is reported only if the latch of
// each dispatch was cancelled before it was set, or if the target itself stated
// that it ran nothing.
package entry
