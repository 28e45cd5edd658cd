package trial

import (
	"context"
	"errors"

	"github.com/cornelyard/cornelyard/quarantine"
	"github.com/cornelyard/cornelyard/storage"
)

// renewInterval is the age at which the row of content that is still asked for is written
// again, so that it is not swept.
const renewInterval = quarantine.Retention / 4

// renew writes the rows of suspects of which no more trials are permitted again if they have
// become old.
func (l *Ledger) renew(suspects []quarantine.Digest, denial *Denial) {
	if denial.Cause != Exhausted {
		return
	}
	for _, digest := range suspects {
		if change, due := l.dueForRenewal(digest); due {
			l.background.Go(func() { l.renewRow(change) })
		}
	}
}

func (l *Ledger) renewRow(change rowChange) {
	written, err := l.write(context.Background(), endTimeout, []rowChange{change})
	var conflict *storage.ConflictError
	if errors.As(err, &conflict) {
		l.seeConflict([]quarantine.Digest{change.digest}, conflict)
		return
	}
	if err != nil {
		l.options.Logger.Warn().Err(err).Stringer("digest", change.digest).Msg("Renewing the row of exhausted trials failed; trying again with the next request.")
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.contentOf(change.digest); c.revision == change.revision {
		c.row, c.revision = change.row, written
	}
}

func (l *Ledger) dueForRenewal(digest quarantine.Digest) (change rowChange, due bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.contentOf(digest)
	if c.row == nil || l.options.Now().UnixMilli()-c.row.AtMs < renewInterval.Milliseconds() {
		return rowChange{}, false
	}
	row := *c.row
	return rowChange{digest: digest, row: &row, revision: c.revision}, true
}
