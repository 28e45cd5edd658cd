package trial

import (
	"context"
	"errors"

	"github.com/cornelyard/cornelyard/quarantine"
	"github.com/cornelyard/cornelyard/storage"
)

// Run is a trial in flight.
type Run struct {
	ledger *Ledger
	digest quarantine.Digest
	token  string
	// row is what was written, if stored is set. Otherwise the table did not answer.
	row    record
	stored bool
}

// Stored reports whether the table holds the trial, so that no other host has one in flight.
func (r *Run) Stored() bool { return r.stored }

// Number returns how many trials there were since the content was last cleared, including
// this one, or zero if the table did not answer.
func (r *Run) Number() int { return r.row.Runs }

// End records what the trial showed. It does not wait for the table.
func (r *Run) End(result Result) {
	if !r.stored {
		r.ledger.release(r.digest)
		return
	}
	r.ledger.background.Go(func() {
		defer r.ledger.release(r.digest)
		if err := r.store(result); err != nil {
			r.ledger.options.Logger.Warn().Err(err).Stringer("digest", r.digest).Stringer("result", result).
				Msg("Storing the end of a trial failed; other hosts wait until it would have ended at the latest.")
		}
	})
}

// store writes the end of the trial. Its row may have another revision than the write at
// its beginning returned.
func (r *Run) store(result Result) error {
	err := r.replace(result, r.ledger.revisionOf(r.digest))
	var conflict *storage.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	for _, current := range conflict.Rows {
		if row, err := decodeRecord(current.Value); err == nil && row.Token == r.token {
			return r.replace(result, current.Revision)
		}
	}
	// The lease of this trial is over, and another one has begun.
	r.ledger.seeConflict(r.digest, conflict)
	return nil
}

// endedRow returns the row of the ended trial, or nil if none is needed.
func (r *Run) endedRow(result Result) *record {
	row := r.row
	row.Ended = true
	row.Crashed = row.Crashed || result == Crashed
	if result == Withdrawn {
		row.Runs--
	}
	if result == Survived || row.Runs == 0 {
		return nil
	}
	return &row
}

// replace replaces the row of the given revision by that of the ended trial.
func (r *Run) replace(result Result, revision uint64) error {
	ended := r.endedRow(result)
	written, err := r.ledger.write(context.Background(), endTimeout, r.digest, ended, revision)
	if err != nil {
		return err
	}
	if ended == nil {
		written = 0
	}
	r.ledger.see(r.digest, ended, written)
	return nil
}

func (l *Ledger) revisionOf(digest quarantine.Digest) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.contentOf(digest).revision
}
