// Command cornelyard-review plays one case of the review with stand-ins around the project's gateways.
//
//	cornelyard-review CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With
// TROUBLE=0 the disruption is left out.
package main

import (
	"fmt"
	"os"

	"github.com/cornelyard/cornelyard/review/harness"
)

// play plays a case and reports whether the rule was broken.
type play func(w *world) (broken bool, err error)

func main() {
	cases := map[string]play{"versions": playVersions, "stale": playStale, "takeup": playTakeUp}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cornelyard-review CASE RECORD")
		os.Exit(2)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(p play, path string) int {
	record, err := harness.NewRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = record.Close() }()
	w, err := newWorld(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	broken, err := p(w)
	switch {
	case err != nil:
		record.Printf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case broken:
		return 1
	default:
		return 0
	}
}
