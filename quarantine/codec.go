package quarantine

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/proto/crashpb"
)

// Encode converts crashes to their wire format, with ages instead of times because the
// clocks of hosts differ.
func Encode(now time.Time, crashes []Crash) []*crashpb.Crash {
	if len(crashes) == 0 {
		return nil
	}
	encoded := make([]*crashpb.Crash, 0, len(crashes))
	for i := range crashes {
		c := &crashes[i]
		report := &crashpb.Crash{Target: string(c.Target), ProcessMs: c.Process, AgeMs: now.Sub(c.At).Milliseconds()}
		for _, run := range c.Runs {
			report.Runs = append(report.Runs, &crashpb.Run{
				Digest: uint64(run.Digest), Part: run.Part,
				DurationMs: run.Duration.Milliseconds(), Cleared: run.Cleared, Trial: run.Trial,
			})
		}
		if c.Total > 0 {
			// Hosts of the former build skip a run without a digest.
			report.Runs = append(report.Runs, &crashpb.Run{DurationMs: int64(c.Total)})
		}
		encoded = append(encoded, report)
	}
	return encoded
}

// Decode converts crashes from their wire format.
func Decode(now time.Time, encoded []*crashpb.Crash) []Crash {
	if len(encoded) == 0 {
		return nil
	}
	crashes := make([]Crash, 0, len(encoded))
	for _, report := range encoded {
		c := Crash{
			Target:  ident.Target(report.GetTarget()),
			Process: report.GetProcessMs(),
			At:      now.Add(-milliseconds(report.GetAgeMs())),
		}
		for _, run := range report.GetRuns() {
			if run.GetDigest() == 0 {
				c.Total = int(min(max(run.GetDurationMs(), 0), maxRuns))
				continue
			}
			c.Runs = append(c.Runs, Run{
				Digest: Digest(run.GetDigest()), Part: run.GetPart(),
				Duration: milliseconds(run.GetDurationMs()), Cleared: run.GetCleared(), Trial: run.GetTrial(),
			})
		}
		crashes = append(crashes, c)
	}
	return crashes
}

// maxDurationMs bounds durations in messages, in milliseconds.
const maxDurationMs = 365 * 24 * 60 * 60 * 1000

// milliseconds converts a number of milliseconds, within 0 and maxDurationMs.
func milliseconds(n int64) time.Duration {
	return time.Duration(min(max(n, 0), maxDurationMs)) * time.Millisecond
}
