package test

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/internal/soak"
)

// TestSoak runs the gateway under random faults. For other seeds and longer runs
// use go run ./bench soak --seed N --seeds 50.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("too long for -short")
	}
	for seed, duration := range map[uint64]time.Duration{1: 10 * time.Second, 104: 6 * time.Second} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			runSoak(t, soak.Options{Seed: seed, Duration: duration})
		})
	}
}

func runSoak(t *testing.T, o soak.Options) {
	t.Helper()
	runSoakWithin(t, 2*time.Minute, o)
}

func runSoakWithin(t *testing.T, limit time.Duration, o soak.Options) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	result, err := soak.Run(ctx, o)
	if err != nil {
		t.Fatal(err)
	}
	if err := result.WriteText(os.Stdout); err != nil {
		t.Fatal(err)
	}
	for _, v := range result.Violated() {
		t.Errorf("guarantee %s violated in %d of %d checks, for example %q", v.Promise, v.Violations, v.Checked, v.Examples)
	}
}
