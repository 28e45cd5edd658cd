package gateway

import (
	"bytes"
	"strings"
	"testing"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/cornelyard/cornelyard/internal/bytebudget"
)

func TestRefusedMemoryIsLoggedOnce(t *testing.T) {
	var lines bytes.Buffer
	budget := bytebudget.New(0, 0)
	monitor := &bufferMonitor{kind: bufferRequests, budget: budget, logger: &log.Logger{Writer: &log.IOWriter{Writer: &lines}}}
	monitor.update(tally.NoopScope)
	budget.Reserve().Grow(1)
	monitor.update(tally.NoopScope)
	monitor.update(tally.NoopScope)
	if got := strings.Count(lines.String(), `"event":"buffers-full","kind":"requests","refused":1,`); got != 1 {
		t.Errorf("got %d lines about the refusal, want 1: %s", got, lines.String())
	}
}
