package freshness

import "time"

const (
	// maxStatementAge is the age beyond which a statement is of no use, and maxAhead how far its moment
	// may lie ahead of this host's reading of the store's clock.
	maxStatementAge = time.Hour
	maxAhead        = time.Minute
)

// Statement is what a host says of a table to other hosts.
type Statement struct {
	Table Table
	// Digest identifies the rows that the host holds.
	Digest uint32
	// AsOfMs is a reading of the store's clock, in milliseconds, at which these were the rows of the
	// table.
	AsOfMs int64
	// Frequent says that the host asks so often that the others need not.
	Frequent bool
}

// asOf returns the moment of the statement at a host whose reading of the store's clock is clockMs, and
// false if it can't be right.
func (s Statement) asOf(now time.Time, clockMs int64) (time.Time, bool) {
	if s.AsOfMs <= clockMs-maxStatementAge.Milliseconds() || s.AsOfMs >= clockMs+maxAhead.Milliseconds() {
		return time.Time{}, false
	}
	return now.Add(-time.Duration(max(clockMs-s.AsOfMs, 0)) * time.Millisecond), true
}
