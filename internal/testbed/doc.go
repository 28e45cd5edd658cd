// Package testbed runs a whole cluster as real processes on this machine, for tests
// and benchmarks: the daemons, the stand-ins for the platform and the targets, and
// optionally a fault proxy on every link between them.
//
// All processes are children of the test process, each in its own process group, and
// are killed when it ends.
package testbed
