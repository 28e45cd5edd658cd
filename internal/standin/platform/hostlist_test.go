package platform

import (
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/storage"
)

func TestHostListLags(t *testing.T) {
	start := time.Unix(100, 0)
	list := hostList{lag: 2 * time.Second}
	list.set(start, []storage.HostEntry{{Name: "a"}})
	list.set(start.Add(time.Second), []storage.HostEntry{{Name: "b"}})
	cases := []struct {
		after time.Duration
		want  string
	}{
		{time.Second, ""},
		{2 * time.Second, "a"},
		{2900 * time.Millisecond, "a"},
		{3 * time.Second, "b"},
	}
	for _, c := range cases {
		got := ""
		for _, host := range list.visibleAt(start.Add(c.after)) {
			got += host.Name
		}
		if got != c.want {
			t.Errorf("after %v the list holds %q, want %q", c.after, got, c.want)
		}
	}
}
