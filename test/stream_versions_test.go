package test

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/internal/soak"
)

func TestStreamsKeepTheirVersionUnderRandomFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("too long for -short")
	}
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
			defer cancel()
			result, err := soak.Run(ctx, soak.Options{Seed: seed, Duration: 8 * time.Second, Targets: 12, Versions: 2, Faults: 3})
			if err != nil {
				t.Fatal(err)
			}
			if err := result.WriteText(os.Stdout); err != nil {
				t.Fatal(err)
			}
			for _, v := range result.Violated() {
				t.Errorf("guarantee %s violated in %d of %d checks, for example %q", v.Promise, v.Violations, v.Checked, v.Examples)
			}
		})
	}
}
