// Package faultrun runs a cluster of real processes under load and a seeded
// schedule of faults, two at a time, and checks the promises that the system
// makes. The joint test and the faults bench use it.
package faultrun
