// Package quarantine identifies requests that crash the targets that run them.
//
// A digest identifies the content of a request, whichever attempt carries it. A crash is
// the unplanned end of a target's process, with the digests that were running on it.
//
// The package has no clock, performs no I/O and starts no goroutines.
package quarantine
