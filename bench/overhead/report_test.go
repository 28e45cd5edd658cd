package overhead

import (
	"strings"
	"testing"
	"time"
)

func TestCompare(t *testing.T) {
	direct, through := newLatency(), newLatency()
	for i := range 100 {
		direct.add(time.Duration(i+1) * time.Millisecond)
		through.add(time.Duration(i+1) * 2 * time.Millisecond)
	}
	got := compare(direct, through)
	checks := []struct {
		name      string
		got, want float64
	}{
		{"median ratio", got.MedianRatio, 2},
		{"median added", got.MedianAddedMs, 50},
		{"p99 ratio", got.P99Ratio, 2},
		{"p99 added", got.P99AddedMs, 99},
	}
	for _, c := range checks {
		if c.got < c.want*0.99 || c.got > c.want*1.01 {
			t.Errorf("%s is %v, want %v", c.name, c.got, c.want)
		}
	}
	if empty := compare(newLatency(), through); empty.MedianRatio != 0 {
		t.Errorf("median ratio to an empty baseline is %v, want 0", empty.MedianRatio)
	}
	var text strings.Builder
	if err := (&Report{Streamed: got}).WriteText(&text); err != nil || !strings.Contains(text.String(), "streamed") {
		t.Errorf("WriteText wrote %q, error %v; want a row named streamed", text.String(), err)
	}
}
