package test

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/internal/faultrun"
)

// togetherSeed fixes the schedule of faults.
const faultSeed = 1

// All promises at once, under random faults, two at a time. Other seeds and
// longer runs: go run ./bench faults --seed N --duration 60s.
func TestAllPromisesTogether(t *testing.T) {
	if testing.Short() {
		t.Skip("a run of its own length; the plain test run has it")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Minute)
	defer cancel()
	result, err := faultrun.Run(ctx, faultrun.Options{Seed: faultSeed, Duration: 15 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	if err := result.WriteText(os.Stdout); err != nil {
		t.Fatal(err)
	}
	for _, v := range result.Violated() {
		t.Errorf("%s: broken %d of %d times: %q", v.Promise, v.Violations, v.Checked, v.Examples)
	}
	if t.Failed() {
		t.Log(result.Logs)
	}
}
