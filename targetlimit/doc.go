// Package targetlimit shares the limits that targets state among the hosts.
//
// A target in need states a limit: the requests per second that it takes from all hosts
// together. A statement is what one response says about that; the newest one of a target's
// process is in force, whichever host received it. A host's rate is the part of the limit
// that it uses itself. Keepers are the few hosts that have a rate for a target; all hosts
// that receive each other's states choose the same ones. A claim is the rate that a host
// reports to the others.
//
// While the hosts receive each other's states, their rates add up to the limit. A host that
// receives the states of at most half of the others keeps to the part of the limit that
// corresponds to them, so that the groups of a cut add up to at most one and a half times
// the limit.
//
// The package has no clock, performs no I/O and starts no goroutines.
package targetlimit
