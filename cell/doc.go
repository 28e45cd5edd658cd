// Package cell divides the hosts and the targets of a data centre into cells of a few
// hosts and the targets that they prefer.
//
// The hosts of a cell exchange their states often, those of different cells seldom. A host
// knows the load of the targets of its cell best, and its connections to them are reused.
// Hosts compute the division from the names alone, without an agreement: hosts that know
// different names for a while only prefer different targets meanwhile.
package cell
