package eventlog

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/relay"
)

// parseEnd returns the last line that the logger writes about the request, as it is parsed.
func parseEnd(t *testing.T, s relay.Summary) EndedRequest {
	t.Helper()
	written := lines(t, s)
	object, err := json.Marshal(written[len(written)-1])
	if err != nil {
		t.Fatal(err)
	}
	r, err := ParseEndedRequest(object)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestEndedRequestIsReadAsWritten guards against fields whose names differ between the writer
// and the reader.
func TestEndedRequestIsReadAsWritten(t *testing.T) {
	got := parseEnd(t, relay.Summary{
		Request: "a-1", Route: "r", Pool: "p", Team: "acme", Target: "t1", PromptTokens: 90, Dispatches: 2,
		QueueTime: 5 * time.Millisecond, TimeToFirstEvent: 80 * time.Millisecond, TotalTime: time.Second,
		Objective: 50 * time.Millisecond, Status: 200, Resumes: true,
	})
	late := got.Late
	if late == nil || !*late {
		t.Error("the request was served after its objective, and the line does not say that")
	}
	got.At, got.Late = time.Time{}, nil
	want := EndedRequest{
		EventHeader: EventHeader{Event: EventEnded},
		HostClass:   "536MB", DataCentre: "dc1", Team: "acme", Route: "r", Pool: "p", Target: "t1",
		PromptTokens: 90, Dispatches: 2, Queued: 5, FirstEvent: 80, Total: 1000, Status: 200, Represents: 1,
	}
	if got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// TestPassedOnRequestNamesTheServingHost guards against requests that count at two hosts.
func TestPassedOnRequestNamesTheServingHost(t *testing.T) {
	s := failed("a-1")
	s.Steps = append(s.Steps, relay.Step{Kind: relay.StepPassedOn, Host: "h2", Cause: "refused"})
	if got := parseEnd(t, s).Peer; got != "" {
		t.Errorf("the line names the peer %q, which did not respond", got)
	}
	s.Steps = append(s.Steps, relay.Step{Kind: relay.StepPassedOn, Host: "h3"})
	if got := parseEnd(t, s).Peer; got != "h3" {
		t.Errorf("the line names the peer %q, want h3", got)
	}
}

// TestLinesRepresentAllServedRequests guards against estimates that are too low when the limit
// of lines per second leaves out samples.
func TestLinesRepresentAllServedRequests(t *testing.T) {
	r := NewRequestLogger(nil, HostFields{})
	const (
		requests  = 100_000
		perSecond = 20_000
	)
	represented, written := uint64(0), 0
	now := time.Now()
	for range requests {
		now = now.Add(time.Second / perSecond)
		if n := r.admit(now, true, 4); n > 0 {
			represented += n
			written++
		}
	}
	if written >= requests/ServedSampleInterval {
		t.Fatalf("the lines of %d requests are written, so that the limit had no effect", written)
	}
	// The limit of the last second may leave out the lines for all requests of that second.
	if represented > requests || requests-represented > perSecond {
		t.Errorf("the lines represent %d of %d requests", represented, requests)
	}
}

func TestLinesWithoutCountAreRecognized(t *testing.T) {
	for text, want := range map[string]int64{
		`"status":200,"dispatches":1}`:                 ServedSampleInterval,
		`"status":200,"dispatches":2}`:                 1,
		`"status":0,"outcome":"not-run"}`:              1,
		`"status":200,"dispatches":1,"represents":31}`: 31,
	} {
		if got, err := ParseEndedRequest([]byte(`{"time":"2026-02-20T04:07:19Z",` + text)); err != nil || got.Represents != want {
			t.Errorf("%s represents %d requests (%v), want %d", text, got.Represents, err, want)
		}
	}
}

// TestFaultyEndsAreRejected guards against single lines that spoil the sums.
func TestFaultyEndsAreRejected(t *testing.T) {
	for _, text := range []string{
		`{"status":200}`,
		`{"time":"2026-02-20T04:07:19Z","queued_ms":-1}`,
		`{"time":"2026-02-20T04:07:19Z","represents":9000000000000000000}`,
	} {
		if _, err := ParseEndedRequest([]byte(text)); err == nil {
			t.Errorf("%s is accepted", text)
		}
	}
}

// TestScannerBoundsLines guards against a line without end that is read into memory, and
// against wrong line numbers after it.
func TestScannerBoundsLines(t *testing.T) {
	s := NewScanner(strings.NewReader("mark {\"a\":1}\n" + strings.Repeat("{", 2*maxLineBytes) + "\nnone\n{\"b\":2}"))
	want := []string{"{\"a\":1}\n", "", "", `{"b":2}`}
	for i, object := range want {
		if !s.Scan() || string(s.Object()) != object || s.Number() != i+1 {
			t.Fatalf("line %d is %.20q, want %q at %d", s.Number(), s.Object(), object, i+1)
		}
	}
	if s.Scan() || s.Err() != nil {
		t.Errorf("after the last line: %v", s.Err())
	}
}
