// Package saturation decides which new requests a host refuses because it can't keep up: its goroutines
// run late, or the queue of its link is full. It does no I/O and has no clock.
package saturation
