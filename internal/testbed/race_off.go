//go:build !race

package testbed

// raceFlags builds the programs as the tests are, without the race detector.
var raceFlags []string
