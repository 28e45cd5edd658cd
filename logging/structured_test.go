package logging

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"
)

func TestStructuredLinesAreJSONWithHostAndPart(t *testing.T) {
	var out bytes.Buffer
	logs := NewStructured(Options{Output: &out, Host: "h1"})
	logs.For("peers").Info().Int("n", 3).Msg("Another host is heard.")
	if err := logs.Close(); err != nil {
		t.Fatal(err)
	}
	var line map[string]any
	if err := json.Unmarshal(out.Bytes(), &line); err != nil {
		t.Fatal(err)
	}
	if line["host"] != "h1" || line["part"] != "peers" || line["n"] != 3.0 || line["message"] != "Another host is heard." {
		t.Errorf("the line is %v", line)
	}
}

// stuck is an output whose reader does not read.
type stuck struct{ release chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

func TestReaderThatStopsReadingBlocksNobody(t *testing.T) {
	output := stuck{make(chan struct{})}
	defer close(output.release)
	logs := NewStructured(Options{Output: output})
	logger := logs.For("request")
	begun := time.Now()
	for range 3 * structuredLines {
		logger.Info().Str("request", strings.Repeat("x", 100)).Msg("Request ended.")
	}
	if took := time.Since(begun); took > 5*time.Second {
		t.Errorf("writing took %v", took)
	}
	if logs.Dropped() == 0 {
		t.Error("no dropped line is counted")
	}
}
