// Package testbed runs a whole cluster as real processes on this machine, for
// tests and measurements: the daemons, the stand-ins for the platform and the
// targets, and, if wanted, a fault proxy on every link between them.
//
// All processes are children of the test, each in a process group of its own,
// and end with it.
package testbed
