package former

import (
	"strings"
	"testing"
)

// A history that lacks the former commit must not pass for a finished comparison.
func TestMissingCommitIsReported(t *testing.T) {
	const missing = "0123456789012345678901234567890123456789"
	if _, err := Get(missing); err == nil || !strings.Contains(err.Error(), "lacks the commit "+missing) {
		t.Errorf("got error %v, want one that names the missing commit", err)
	}
}

func TestDeployFileNamesCommitInProduction(t *testing.T) {
	commit, err := Production()
	if err != nil || len(commit) != 40 {
		t.Errorf("got %q, error %v, want a full commit name", commit, err)
	}
}
