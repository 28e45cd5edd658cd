// Package routing predicts how long work takes on each target of a pool and
// chooses the target for it.
//
// Everything is learned from the pool's own streams; load reports and prefix
// records are hints that lose weight with age. The package does no I/O and reads
// no clock; its types are not safe for concurrent use.
package routing
