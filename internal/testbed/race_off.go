//go:build !race

package testbed

// raceFlags is empty: the tests run without the race detector, so the programs do too.
var raceFlags []string
