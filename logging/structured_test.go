package logging

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"
)

func TestStructuredLinesAreJSONWithHostAndComponent(t *testing.T) {
	var out bytes.Buffer
	factory := NewStructured(Options{Output: &out, Host: "h1"})
	factory.For("peers").Info().Int("n", 3).Msg("Another host is heard.")
	if err := factory.Close(); err != nil {
		t.Fatal(err)
	}
	var line map[string]any
	if err := json.Unmarshal(out.Bytes(), &line); err != nil {
		t.Fatal(err)
	}
	if line["host"] != "h1" || line["part"] != "peers" || line["n"] != 3.0 || line["message"] != "Another host is heard." {
		t.Errorf("unexpected line %v", line)
	}
}

// blockedWriter is an output that blocks until it is released.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

func TestBlockedOutputDropsLinesWithoutBlocking(t *testing.T) {
	output := blockedWriter{make(chan struct{})}
	defer close(output.release)
	factory := NewStructured(Options{Output: output})
	logger := factory.For("request")
	startTime := time.Now()
	for range 3 * maxQueuedLines {
		logger.Info().Str("request", strings.Repeat("x", 100)).Msg("Request ended.")
	}
	if elapsed := time.Since(startTime); elapsed > 5*time.Second {
		t.Errorf("logging took %v, want at most 5 s", elapsed)
	}
	if factory.Dropped() == 0 {
		t.Error("no dropped lines were counted")
	}
}
