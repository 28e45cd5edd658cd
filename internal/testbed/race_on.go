//go:build race

package testbed

// raceFlags builds the programs with the race detector, as the tests are.
var raceFlags = []string{"-race"}
