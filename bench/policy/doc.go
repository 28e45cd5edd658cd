// Package policy compares the scheduling policies on the same arrivals. It runs real
// daemons with stand-in engines of three speeds, below, at and above their capacity.
// The load is bursty, with lengths over two decades, four tiers and five teams.
package policy
