package entry

import (
	"testing"
	"time"
)

func TestProgressIsReportedWhenTheGapChanges(t *testing.T) {
	const gap = 40 * time.Millisecond
	began := time.Now()
	at := func(d time.Duration) time.Time { return began.Add(d) }
	tests := []struct {
		name string
		// The check happens elapsed after the last report. tokens arrived in
		// between, the last of them lastAgo before the check.
		tokens  int
		lastAgo time.Duration
		elapsed time.Duration
		want    bool
	}{
		{name: "steady gap", tokens: 10, elapsed: 10 * gap, want: false},
		{name: "steady gap for the longest interval", tokens: 25, elapsed: 25 * gap, want: true},
		{name: "slower", tokens: 2, elapsed: 4 * gap, want: true},
		{name: "faster", tokens: 10, elapsed: 5 * gap, want: true},
		{name: "no token for longer than a gap", lastAgo: 2 * gap, elapsed: 2 * gap, want: true},
		{name: "no token yet, within a gap", lastAgo: gap, elapsed: gap, want: false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := &progress{
				stream: true, dispatchedAt: began, tokens: 5 + test.tokens, reportedTokens: 5,
				reportedTokenTime: at(0), lastReport: at(0), reportedGap: gap, lastTokenTime: at(test.elapsed - test.lastAgo),
			}
			if got := p.reportDue(at(test.elapsed)); got != test.want {
				t.Errorf("report due is %v, want %v", got, test.want)
			}
		})
	}
}
