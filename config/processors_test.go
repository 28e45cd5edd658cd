package config_test

import (
	"strings"
	"testing"

	"github.com/cornelyard/cornelyard/config"
)

// Guards against several processors on a host with a part of one, whose threads then wake each other
// in vain, and against one processor on a large host.
func TestSmallHostsUseOneProcessor(t *testing.T) {
	for _, c := range []struct {
		settings string
		want     int
	}{
		{``, 1},
		{`,"processors": 3`, 3},
	} {
		g, findings := config.ParseGateway("g.json", []byte(strings.Replace(gatewaySettings, "ROLLOUT", c.settings, 1)))
		if err := findings.Err(); err != nil || g.UsedProcessors() != c.want {
			t.Errorf("%q: %d processors, error %v, want %d", c.settings, g.UsedProcessors(), err, c.want)
		}
	}
	if large := (&config.Gateway{MemoryMB: 4096}); large.UsedProcessors() != 0 {
		t.Errorf("a large host uses %d processors, want the default", large.UsedProcessors())
	}
	_, findings := config.ParseGateway("g.json", []byte(strings.Replace(gatewaySettings, "ROLLOUT", `,"processors": -1`, 1)))
	if err := findings.Err(); err == nil || !strings.Contains(err.Error(), "processors") {
		t.Errorf("error %v does not name the negative number", err)
	}
}
