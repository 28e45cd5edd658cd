package test

import (
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/internal/former"
	"github.com/cornelyard/cornelyard/internal/soak"
)

// Guards against a change that only holds if all hosts have it: hosts of the build in production
// and of this one serve side by side while they are replaced, half of them are reverted, and all
// are replaced in the end. For other seeds and commits use go run ./bench soak --former COMMIT.
func TestHostsAreUpgradedUnderLoad(t *testing.T) {
	if testing.Short() {
		t.Skip("too long for -short")
	}
	commit, err := former.Production()
	if err != nil {
		t.Fatal(err)
	}
	runSoakWithin(t, 4*time.Minute, soak.Options{Seed: 2, Former: commit})
}
