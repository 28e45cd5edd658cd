// Package fairshare orders the requests of the teams that compete for a pool whose capacity is
// scarce. Within a rank, each team has an account of the predicted slot time that it was
// granted lately, over all hosts; requests are ordered by start tags as in start-time fair
// queueing (Goyal, Vin and Cheng, 1996), with the team's account in place of the finish tag of
// its last request.
//
// The package addresses overload of some seconds in which one team sends several times its
// usual amount. It has no I/O, clock or goroutine, and its types are not safe for concurrent
// use.
package fairshare
