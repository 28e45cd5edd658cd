package eventlog

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/logging"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/relay"
	"github.com/cornelyard/cornelyard/schedule"
)

// lines writes summaries and returns the lines, each decoded.
func lines(t testing.TB, summaries ...relay.Summary) []map[string]any {
	t.Helper()
	var out bytes.Buffer
	logs := logging.NewStructured(logging.Options{Output: &out})
	r := NewRequestLogger(logs.For("request"))
	for _, s := range summaries {
		r.Finished(s)
	}
	if err := logs.Close(); err != nil {
		t.Fatal(err)
	}
	var decoded []map[string]any
	for line := range strings.SplitSeq(strings.TrimSuffix(out.String(), "\n"), "\n") {
		if line == "" {
			continue
		}
		var fields map[string]any
		if err := json.Unmarshal([]byte(line), &fields); err != nil {
			t.Fatalf("the line %q is no JSON object: %v", line, err)
		}
		decoded = append(decoded, fields)
	}
	return decoded
}

func failed(id ident.Request) relay.Summary {
	return relay.Summary{
		Request: id, Route: "r", Team: "acme", Dispatches: 1, Result: schedule.Broken,
		Refusal: &outcome.Refusal{Outcome: outcome.Unknown, Reason: outcome.TargetFailed},
		Steps: []relay.Step{
			{Kind: relay.StepAccepted},
			{Kind: relay.StepPlaced, Target: "t1", Inputs: schedule.Inputs{UsableTargets: 3, FreeSlots: 2, PeerStateAge: 40 * time.Millisecond}},
			{Kind: relay.StepAttemptEnded, Target: "t1", Result: schedule.Broken, Cause: "reset"},
		},
	}
}

func TestFailedRequestIsWrittenWithAllItsSteps(t *testing.T) {
	got := lines(t, failed("a-1"))
	var events []string
	for _, line := range got {
		events = append(events, line[FieldEvent].(string))
		if line[FieldRequest] != "a-1" {
			t.Errorf("the line %v has no request", line)
		}
	}
	if want := "request-accepted request-placed attempt-ended request-ended"; strings.Join(events, " ") != want {
		t.Errorf("the events are %v", events)
	}
	if got[1][FieldPeerStateAgeMs] != 40.0 || got[1][FieldUsableTargets] != 3.0 || got[2][FieldCause] != "reset" {
		t.Errorf("the lines are %v", got)
	}
}

func TestServedRequestsAreSampled(t *testing.T) {
	var many []relay.Summary
	for range 10 * servedSample {
		many = append(many, relay.Summary{Request: "a", Status: 200, Dispatches: 1})
	}
	if got := len(lines(t, many...)); got < 8 || got > 10 {
		t.Errorf("%d lines of %d served requests", got, len(many))
	}
}

func TestVolumeIsBoundedAndDropsAreCounted(t *testing.T) {
	var out bytes.Buffer
	logs := logging.NewStructured(logging.Options{Output: &out})
	r := NewRequestLogger(logs.For("request"))
	begun := time.Now()
	r.admit(begun, false, 0)
	kept := 0
	for range 1000 {
		if r.admit(begun, false, 4) {
			kept += 4
		}
	}
	if kept > linesPerSecond || kept < linesPerSecond-4 {
		t.Errorf("%d lines in a second", kept)
	}
	r.admit(begun.Add(2*time.Second), false, 1)
	if err := logs.Close(); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out.String(), EventLinesDropped) {
		t.Errorf("the log does not tell of dropped lines: %s", out.String())
	}
}

// FuzzCallersCannotBreakLines checks that whatever a caller sends stays inside its
// field of its line.
func FuzzCallersCannotBreakLines(f *testing.F) {
	f.Add("plain")
	f.Add("two\nlines\r\n")
	f.Add("quote\" and \\ and \x00")
	f.Add(string([]byte{0xff, 0xfe, 0xc3, 0x28}))
	f.Add(strings.Repeat("long", 10_000))
	f.Fuzz(func(t *testing.T, text string) {
		s := failed(ident.Request(text))
		s.Steps[2].Cause = text
		got := lines(t, s)
		if len(got) != 4 {
			t.Fatalf("%d lines", len(got))
		}
		if utf8.ValidString(text) && len(text) < 100 && got[0][FieldRequest] != text {
			t.Errorf("the field holds %q of %q", got[0][FieldRequest], text)
		}
	})
}
