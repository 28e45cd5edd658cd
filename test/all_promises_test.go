package test

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/internal/faultrun"
)

// faultSeed determines the fault schedule.
const faultSeed = 1

// Checks all documented guarantees under random faults, two at a time. For other
// seeds and longer runs use go run ./bench faults --seed N --duration 60s.
func TestAllPromisesTogether(t *testing.T) {
	if testing.Short() {
		t.Skip("too long for -short")
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
		t.Errorf("guarantee %s violated in %d of %d checks, for example %q", v.Promise, v.Violations, v.Checked, v.Examples)
	}
	if t.Failed() {
		t.Log(result.Logs)
	}
}
