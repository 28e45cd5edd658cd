package logging

import (
	"bytes"
	"strings"
	"testing"
)

func TestLineHasComponentPrefix(t *testing.T) {
	var out bytes.Buffer
	logger := New(Options{Level: "warn", Output: &out}).For("peer")
	logger.Info().Msg("Not shown.")
	logger.Warn().Str("host", "a").Int("n", 3).Msg("Session ended.")
	line := out.String()
	if strings.Count(line, "\n") != 1 || !strings.HasSuffix(line, "warn  peer: Session ended. host=a n=3\n") {
		t.Errorf("got %q", line)
	}
}
