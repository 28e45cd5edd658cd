package standin

import (
	"path/filepath"
	"testing"
)

func TestJournalAppendsAfterRestart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "journal")
	for _, id := range []string{"r1", "r2", "r1"} {
		journal, err := OpenJournal(path)
		if err != nil {
			t.Fatal(err)
		}
		journal.Append(id)
	}
	counts, err := ReadJournal(path)
	if err != nil {
		t.Fatal(err)
	}
	if len(counts) != 2 || counts["r1"] != 2 || counts["r2"] != 1 {
		t.Fatalf("journal counts are %v, want r1: 2 and r2: 1", counts)
	}
}
