package routing

import "time"

// IsolateSuspects allows at most one request that is suspected of crashing
// targets on each target.
type IsolateSuspects struct{}

// Allows implements Filter.
func (IsolateSuspects) Allows(_ time.Time, w *Work, t *Target) bool {
	return !w.Suspect || t.Suspects == 0
}
