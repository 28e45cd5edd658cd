package cli_test

import (
	"bytes"
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/cli"
	"github.com/cornelyard/cornelyard/internal/operatortest"
	"github.com/cornelyard/cornelyard/timeline"
)

const waitTimeout = 30 * time.Second

// syncBuffer is a buffer that can be read while the tool writes to it.
type syncBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (o *syncBuffer) Write(data []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buffer.Write(data)
}

// String returns what was written so far.
func (o *syncBuffer) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buffer.String()
}

func (o *syncBuffer) count(part string) int { return strings.Count(o.String(), part) }

// TestTimelineFollows checks that timeline --follow prints new events of several
// hosts exactly once each, until an interrupt.
func TestTimelineFollows(t *testing.T) {
	s := operatortest.Start(hosts)
	defer s.Close()
	out := &syncBuffer{}
	environment := cli.Environment{Stdout: out, Stderr: io.Discard, Getenv: func(name string) string {
		return map[string]string{
			"CORNELYARD_OPERATOR": s.Addresses()[0],
			"CORNELYARD_TOKEN":    operatortest.OperatorToken,
		}[name]
	}}
	ctx, interrupt := context.WithCancel(context.Background())
	status := make(chan cli.ExitStatus, 1)
	go func() {
		status <- cli.Main(ctx, []string{"timeline", "--follow", "--request", "r1"}, environment, cli.Commands())
	}()
	const rounds = 3
	for round := 1; round <= rounds; round++ {
		for _, h := range s.Hosts {
			h.Timeline.Record(timeline.Event{Kind: timeline.Accepted, Request: "r1"})
		}
		deadline := time.Now().Add(waitTimeout)
		for out.count("request=r1") < round*hosts && time.Now().Before(deadline) {
			time.Sleep(time.Millisecond)
		}
	}
	interrupt()
	if got := <-status; got != cli.ExitOK {
		t.Errorf("exit status %d", got)
	}
	if got := out.count("request=r1"); got != rounds*hosts {
		t.Errorf("%d events are shown, want %d", got, rounds*hosts)
	}
}
