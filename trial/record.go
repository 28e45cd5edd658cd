package trial

import (
	"encoding/json"
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// record is the value of a content's row.
type record struct {
	// Host began the last trial, which Token distinguishes from others.
	Host  ident.Host `json:"host"`
	Token string     `json:"token"`
	// Runs is the number of trials since the content was last cleared.
	Runs int `json:"runs"`
	// LeaseMs is how long after its beginning the last trial counts as in flight unless
	// Ended is set.
	LeaseMs int64 `json:"leaseMs"`
	Ended   bool  `json:"ended,omitempty"`
	// Crashed says that a trial crashed its target.
	Crashed bool `json:"crashed,omitempty"`
	// AtMs is when the row was written, in Unix milliseconds of the writer's clock. The
	// sweep of old rows uses it, so its error may be large.
	AtMs int64 `json:"atMs"`
}

func (r *record) encode(now time.Time) ([]byte, error) {
	r.AtMs = now.UnixMilli()
	value, err := json.Marshal(r)
	return value, Error.Wrap(err)
}

func decodeRecord(value []byte) (record, error) {
	var r record
	err := json.Unmarshal(value, &r)
	return r, Error.Wrap(err)
}

// maxLease bounds the lease of a trial, whatever its row says.
const maxLease = time.Hour

func (r *record) lease() time.Duration {
	return time.Duration(min(max(r.LeaseMs, 0), maxLease.Milliseconds())) * time.Millisecond
}
