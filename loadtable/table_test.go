package loadtable

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cornelyard/cornelyard/eventlog"
)

func served(team string, represents int64) *eventlog.EndedRequest {
	return &eventlog.EndedRequest{Team: team, Status: 200, Dispatches: 1, Represents: represents}
}

// TestQuantilesAreWeighted guards against quantiles of lines instead of requests: a refused
// request has a line of its own, and served ones share one.
func TestQuantilesAreWeighted(t *testing.T) {
	table := New()
	for range 10 {
		table.Add(&eventlog.EndedRequest{Outcome: "not-run", Reason: "shed", Queued: 900, Represents: 1})
	}
	table.Add(served("a", 32))
	row := table.Rows()[0]
	if row.Requests != 42 || row.Refused != 10 || row.Served != 32 || !row.Estimated() {
		t.Errorf("got the row %+v, want 32 served and 10 refused", row)
	}
	if row.Queued.Median != 0 || row.Queued.P95 < 890 || row.Queued.P95 > 910 {
		t.Errorf("got the times in the queue %+v, want the median 0 and the 95th percentile 900", row.Queued)
	}
}

// TestEachRequestIsCountedOnce guards against requests that are lost or counted twice among
// rows and outcomes, whatever the properties and however many groups there are.
func TestEachRequestIsCountedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := New(rapid.SliceOfDistinct(rapid.SampledFrom(Dimensions()), rapid.ID).Draw(t, "by")...)
		total := int64(0)
		for i := range rapid.IntRange(0, 200).Draw(t, "requests") {
			r := served(strconv.Itoa(i%7), rapid.Int64Range(1, 64).Draw(t, "represents"))
			r.PromptTokens = rapid.IntRange(0, 40_000).Draw(t, "tokens")
			r.Status = rapid.SampledFrom([]int{0, 200, 404, 500}).Draw(t, "status")
			r.Outcome = rapid.SampledFrom([]string{"", "not-run", "unknown"}).Draw(t, "outcome")
			table.Add(r)
			total += r.Represents
		}
		sum, ended := int64(0), int64(0)
		for _, row := range table.Rows() {
			sum += row.Requests
			ended += row.Served + row.Refused + row.Failed
		}
		if sum != total || ended != total {
			t.Fatalf("the rows have %d requests and %d outcomes, want %d", sum, ended, total)
		}
	})
}

// TestGroupsAreBounded guards against memory that grows with the log.
func TestGroupsAreBounded(t *testing.T) {
	table := New(Team)
	const surplus = 10
	for i := range MaxGroups + surplus {
		table.Add(served(fmt.Sprint(i, strings.Repeat("long", 100)), 1))
	}
	rows := table.Rows()
	last := rows[len(rows)-1]
	if len(rows) != MaxGroups+1 || !table.Full() || last.Values[0] != others || last.Requests != surplus {
		t.Errorf("got %d rows, the last is %+v; want %d, with %d requests in the last", len(rows), last, MaxGroups+1, surplus)
	}
	if got := len(rows[0].Values[0]); got > maxValueBytes {
		t.Errorf("a value has %d bytes, want at most %d", got, maxValueBytes)
	}
}

// TestPromptDecilesAreEqual guards against deciles of unequal size. A class is an eighth of its
// size wide at most, and so may be what a limit is off.
func TestPromptDecilesAreEqual(t *testing.T) {
	table := New(Prompt)
	const requests = 10_000
	for tokens := 1; tokens <= requests; tokens++ {
		table.Add(&eventlog.EndedRequest{PromptTokens: tokens, Represents: 1})
	}
	table.Add(served("unknown size", 1))
	rows := table.Rows()
	if len(rows) != decileCount+1 || rows[0].Values[0] != missing {
		t.Fatalf("got %d rows, the first is %v; want ten and one for unknown sizes", len(rows), rows[0].Values)
	}
	next := 1
	for i, row := range rows[1:] {
		var decile, smallest, largest int
		if _, err := fmt.Sscanf(row.Values[0], "%d:%d-%d", &decile, &smallest, &largest); err != nil {
			t.Fatal(err)
		}
		if decile != i+1 || smallest != next || int64(largest-smallest+1) != row.Requests {
			t.Errorf("row %d is %s with %d requests, want it to begin at %d", i, row.Values[0], row.Requests, next)
		}
		limit := requests * (i + 1) / decileCount
		if largest < limit-limit/8 || largest > limit+limit/8 {
			t.Errorf("decile %d ends at %d, want about %d", i+1, largest, limit)
		}
		next = largest + 1
	}
}

// TestOutcomes guards against callers that left being counted as refused.
func TestOutcomes(t *testing.T) {
	yes := true
	cases := map[string]eventlog.EndedRequest{
		"served":               {Status: 404},
		"late":                 {Status: 200, Late: &yes},
		"refused:shed":         {Outcome: "not-run", Reason: "shed"},
		"failed:caller-gone":   {Outcome: "not-run", Reason: "caller-gone"},
		"failed:target-failed": {Outcome: "unknown", Reason: "target-failed", Status: 200},
		"failed:status-503":    {Status: 503},
	}
	for want, r := range cases {
		if got := describeOutcome(&r); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}

func TestPeriodIncludesItsStartOnly(t *testing.T) {
	start := time.Unix(100, 0)
	p := Period{From: start, To: start.Add(time.Second)}
	if !p.Contains(start) || p.Contains(p.To) || p.Contains(start.Add(-1)) || !(Period{}).Contains(start) {
		t.Error("the period is not from its start on and before its end")
	}
}
