package loadtable

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/cornelyard/cornelyard/eventlog"
)

// maxTableBytes is the bound that docs/OPERATIONS.md states.
const maxTableBytes = 140_000_000

// TestMemoryIsBounded guards against a table that exceeds the memory stated for it.
func TestMemoryIsBounded(t *testing.T) {
	before := heapBytes()
	table := New(Prompt, Team)
	for i := range 2 * MaxGroups {
		r := &eventlog.EndedRequest{Team: fmt.Sprint(i / 2), PromptTokens: 1000 * (1 + i%2), Dispatches: 1, Queued: 1, FirstEvent: 2, Represents: 1}
		table.Add(r)
	}
	rows := table.Rows()
	if used := heapBytes() - before; used > maxTableBytes {
		t.Errorf("a full table uses %d bytes, want at most %d", used, maxTableBytes)
	}
	runtime.KeepAlive(table)
	runtime.KeepAlive(rows)
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
