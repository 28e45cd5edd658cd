// Package rollout decides how the traffic of a pool moves to targets of a new software
// version, and back if that version is bad.
//
// An operator's order names the version. The targets of this version are the candidates;
// all others are the old targets. Hosts send the candidates a share of the requests that
// grows in steps. The evidence of all hosts, how the requests of each route ended on either
// side, decides whether the next step follows, or the version is rolled back.
//
// The package has no clock, performs no I/O and starts no goroutines. Its types are not safe
// for concurrent use.
package rollout
