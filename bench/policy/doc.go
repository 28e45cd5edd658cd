// Package policy compares the scheduling policies on the same arrivals: real
// daemons and stand-in engines of three speeds, lengths over two decades, four
// tiers, five teams and bursts, below, at and above the capacity.
package policy
