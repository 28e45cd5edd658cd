package processortime

import (
	"os"
	"slices"
	"strings"
	"testing"
	"time"
)

// Guards against a report whose figures say nothing about the machine.
func TestProcessorTimeIsMeasured(t *testing.T) {
	meter, before := Start(), UsageOf(os.Getpid())
	stop := make(chan struct{})
	time.AfterFunc(100*time.Millisecond, func() { close(stop) })
	late := Lateness(stop)
	for end := time.Now().Add(8 * time.Second); UsageOf(os.Getpid()).Running <= before.Running; {
		if time.Now().After(end) {
			t.Fatal("no processor time is counted for a busy loop")
		}
	}
	if len(late) == 0 || slices.Min(late) < 0 {
		t.Errorf("got %v, want how late sleeps ended", late)
	}
	if text := meter.Stop(); !strings.Contains(text, "threads waited") || !strings.Contains(text, "median") {
		t.Errorf("the report is %q", text)
	}
}
