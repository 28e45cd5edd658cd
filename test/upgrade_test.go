package test

import (
	"fmt"
	"testing"

	"github.com/cornelyard/cornelyard/internal/former"
	"github.com/cornelyard/cornelyard/internal/soak"
)

// Hosts of the build in production and of this one serve side by side while an operator replaces
// them. This guards against a change that only holds if all hosts have it. For other seeds and
// commits use go run ./bench soak --former COMMIT --seeds 12.
func TestHostsAreUpgradedUnderLoad(t *testing.T) {
	if testing.Short() {
		t.Skip("too long for -short")
	}
	commit, err := former.Production()
	if err != nil {
		t.Fatal(err)
	}
	// The seed selects how hosts are replaced: reverted halfway.
	for _, seed := range []uint64{2} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			runSoak(t, soak.Options{Seed: seed, Former: commit})
		})
	}
}
