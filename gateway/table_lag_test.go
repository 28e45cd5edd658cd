package gateway

import (
	"testing"
	"time"
)

func TestTableLagRereadsOnlyIfOthersStayAhead(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	var l tableLag
	steps := []struct {
		name       string
		at         time.Duration
		own, other uint64
		want       bool
	}{
		{"same version", 0, 3, 3, false},
		{"another host is ahead", 100 * time.Millisecond, 3, 4, false},
		{"a third host is not", 200 * time.Millisecond, 3, 3, false},
		{"still behind after the tolerance", 1200 * time.Millisecond, 3, 4, true},
		{"the configuration is being read", 1300 * time.Millisecond, 3, 4, false},
		{"that read gave nothing newer", 3300 * time.Millisecond, 3, 4, true},
	}
	for _, s := range steps {
		if got := l.observe(start.Add(s.at), s.own, s.other); got != s.want {
			t.Errorf("%s: observe returned %v, want %v", s.name, got, s.want)
		}
	}
	l.catchUp()
	if l.observe(start.Add(10*time.Second), 4, 5) {
		t.Error("a host that has caught up reads again as soon as another one is ahead")
	}
}
