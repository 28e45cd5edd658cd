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
	"github.com/cornelyard/cornelyard/quarantine"
	"github.com/cornelyard/cornelyard/relay"
	"github.com/cornelyard/cornelyard/schedule"
)

// lines logs the summaries and returns the decoded lines.
func lines(t testing.TB, summaries ...relay.Summary) []map[string]any {
	t.Helper()
	var out bytes.Buffer
	logs := logging.NewStructured(logging.Options{Output: &out})
	r := NewRequestLogger(logs.For("request"), HostFields{DataCentre: "dc1", Class: "536MB"})
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
			t.Fatalf("line %q is not a JSON object: %v", line, err)
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

func TestAllStepsOfFailedRequestAreLogged(t *testing.T) {
	got := lines(t, failed("a-1"))
	var events []string
	for _, line := range got {
		events = append(events, line[FieldEvent].(string))
		if line[FieldRequest] != "a-1" {
			t.Errorf("line %v lacks the request ID a-1", line)
		}
	}
	if want := "request-accepted request-placed attempt-ended request-ended"; strings.Join(events, " ") != want {
		t.Errorf("got the events %v", events)
	}
	if got[1][FieldPeerStateAgeMs] != 40.0 || got[1][FieldUsableTargets] != 3.0 || got[2][FieldCause] != "reset" {
		t.Errorf("got the lines %v, want the inputs of the placement and the cause of the failure", got)
	}
}

func TestPartsOfPromptAreLogged(t *testing.T) {
	s := failed("a-1")
	s.Parts = []quarantine.Digest{1, 2}
	got := lines(t, s)
	parts, _ := got[len(got)-1][FieldParts].([]any)
	if len(parts) != 2 || parts[0] != "0000000000000001" {
		t.Errorf("got the parts %v, want two digests", parts)
	}
}

func TestRefusalByConfigurationStatesItsVersionAndAge(t *testing.T) {
	got := lines(t, relay.Summary{
		Request: "a-1", TableVersion: 7, TableCurrency: relay.TableCurrency{Age: 1500 * time.Millisecond, Outdated: true},
		Refusal: &outcome.Refusal{Outcome: outcome.NotRun, Reason: outcome.UnknownPool},
	})
	if end := got[0]; end[FieldTableVersion] != 7.0 || end[FieldTableAgeMs] != 1500.0 || end[FieldTableOutdated] != true {
		t.Errorf("the line is %v, want version 7 that is 1500 ms old and outdated", end)
	}
}

func TestServedRequestsAreSampled(t *testing.T) {
	var summaries []relay.Summary
	for range 10 * ServedSampleInterval {
		summaries = append(summaries, relay.Summary{Request: "a", Status: 200, Dispatches: 1})
	}
	if got := len(lines(t, summaries...)); got < 8 || got > 10 {
		t.Errorf("got %d lines for %d served requests, want 8 to 10", got, len(summaries))
	}
}

func TestLineRateIsLimitedAndDropsAreLogged(t *testing.T) {
	var out bytes.Buffer
	logs := logging.NewStructured(logging.Options{Output: &out})
	r := NewRequestLogger(logs.For("request"), HostFields{DataCentre: "dc1", Class: "536MB"})
	start := time.Now()
	r.admit(start, false, 0)
	admitted := 0
	for range 1000 {
		if r.admit(start, false, 4) > 0 {
			admitted += 4
		}
	}
	if admitted > maxLinesPerSecond || admitted < maxLinesPerSecond-4 {
		t.Errorf("admitted %d lines in one second", admitted)
	}
	r.admit(start.Add(2*time.Second), false, 1)
	if err := logs.Close(); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out.String(), EventLinesDropped) {
		t.Errorf("dropped lines are not logged: %s", out.String())
	}
}

// FuzzCallerInputStaysInField checks that input from a caller stays within its field,
// and cannot forge a line or another field.
func FuzzCallerInputStaysInField(f *testing.F) {
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
			t.Fatalf("got %d lines, want 4", len(got))
		}
		if utf8.ValidString(text) && len(text) < 100 && got[0][FieldRequest] != text {
			t.Errorf("request field is %q, want %q", got[0][FieldRequest], text)
		}
	})
}

// TestServedRequestsAreSampledUnderRefusals guards against an overload whose refused requests
// use up the lines for served ones, so that the log shows nobody as served.
func TestServedRequestsAreSampledUnderRefusals(t *testing.T) {
	r := NewRequestLogger(nil, HostFields{})
	const refusedLines = maxServedLinesPerSecond
	now := time.Now()
	r.admit(now, false, refusedLines)
	represented := uint64(0)
	for range ServedSampleInterval {
		represented += r.admit(now, true, 4)
	}
	if represented != ServedSampleInterval {
		t.Errorf("the lines represent %d served requests after %d lines about refused ones, want %d", represented, refusedLines, ServedSampleInterval)
	}
}
