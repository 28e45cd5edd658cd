// Package faultrun runs a cluster of real processes under load, injects a seeded
// schedule of faults, two at a time, and checks the system's promises. It is used by
// the test of all promises together and by the faults bench.
package faultrun
