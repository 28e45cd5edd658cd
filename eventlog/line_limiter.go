package eventlog

import "time"

const (
	// ServedSampleInterval is the sampling interval for requests served at the first
	// attempt: the lines of one in this many are written.
	ServedSampleInterval = 32
	// maxLinesPerSecond limits the lines about requests. Lines beyond the limit are
	// dropped and counted.
	maxLinesPerSecond = 600
	// maxServedLinesPerSecond limits the lines about served requests, so that they don't
	// use up the limit for failed ones.
	maxServedLinesPerSecond = maxLinesPerSecond / 4
)

// lineLimiter decides for which requests lines are written. It has no clock.
type lineLimiter struct {
	servedCount uint64
	// representedCount is the part of servedCount that the written lines represent.
	representedCount uint64

	// The following counts are those of the current second.
	secondStart time.Time
	lines       int
	// servedLines is the part of lines about served requests.
	servedLines int
	dropped     droppedLines
}

// droppedLines counts lines that were not written because of the limit, and the requests that
// they were about.
type droppedLines struct{ lines, requests int }

// startSecond resets the counts when a second has passed, and returns what was dropped in the
// last one.
func (l *lineLimiter) startSecond(now time.Time) droppedLines {
	if now.Sub(l.secondStart) < time.Second {
		return droppedLines{}
	}
	dropped := l.dropped
	l.secondStart, l.lines, l.servedLines, l.dropped = now, 0, 0, droppedLines{}
	return dropped
}

// admit returns the number of requests that the lines of a request represent, or zero if
// they are not to be written.
func (l *lineLimiter) admit(served bool, lines int) uint64 {
	if served {
		return l.admitServed(lines)
	}
	if l.lines+lines > maxLinesPerSecond {
		l.dropped.lines += lines
		l.dropped.requests++
		return 0
	}
	l.lines += lines
	return 1
}

// admitServed is admit for a request that was served at the first attempt. Its lines represent
// all such requests since the last one whose lines were written.
func (l *lineLimiter) admitServed(lines int) uint64 {
	l.servedCount++
	if l.servedCount%ServedSampleInterval != 0 {
		return 0
	}
	if l.servedLines+lines > maxServedLinesPerSecond || l.lines+lines > maxLinesPerSecond {
		return 0
	}
	l.servedLines += lines
	l.lines += lines
	represented := l.servedCount - l.representedCount
	l.representedCount = l.servedCount
	return represented
}
