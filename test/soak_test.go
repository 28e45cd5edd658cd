package test

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/internal/soak"
)

// TestSoak runs the gateway under random faults. Other seeds and longer runs:
// go run ./bench soak --seed N --seeds 50.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("a run of its own length; the plain test run has it")
	}
	for _, seed := range []uint64{1} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
			defer cancel()
			result, err := soak.Run(ctx, soak.Options{Seed: seed, Duration: 10 * time.Second})
			if err != nil {
				t.Fatal(err)
			}
			if err := result.WriteText(os.Stdout); err != nil {
				t.Fatal(err)
			}
			for _, v := range result.Violated() {
				t.Errorf("%s: broken %d of %d times: %q", v.Promise, v.Violations, v.Checked, v.Examples)
			}
		})
	}
}
