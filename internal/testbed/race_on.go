//go:build race

package testbed

// raceFlags enables the race detector in the programs because the tests run with it.
var raceFlags = []string{"-race"}
