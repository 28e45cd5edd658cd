package trial

import (
	"context"
	"errors"
	"slices"

	"github.com/cornelyard/cornelyard/quarantine"
	"github.com/cornelyard/cornelyard/storage"
)

// Run is a trial in flight.
type Run struct {
	ledger   *Ledger
	suspects []quarantine.Digest
	token    string
	// changes holds the rows that were written, if stored is set. Otherwise the table did
	// not answer.
	changes []rowChange
	stored  bool
}

// Suspects returns the digests that are on trial.
func (r *Run) Suspects() []quarantine.Digest { return r.suspects }

// Stored reports whether the table holds the trial, so that no other host has one in flight
// with any of its suspects.
func (r *Run) Stored() bool { return r.stored }

// Number returns how many trials there were, including this one, of the suspect that had most
// of them since it was last cleared, or zero if the table did not answer.
func (r *Run) Number() int {
	number := 0
	for _, c := range r.changes {
		number = max(number, c.row.Runs)
	}
	return number
}

// End records what the trial showed. It does not wait for the table.
func (r *Run) End(result Result) { r.EndConvicting(result, r.suspects) }

// EndConvicting is like End for a trial that crashed its target if that convicts only some of
// its suspects. The others may have further trials.
func (r *Run) EndConvicting(result Result, convicted []quarantine.Digest) {
	if !r.stored {
		r.ledger.release(r.suspects)
		return
	}
	r.ledger.background.Go(func() {
		defer r.ledger.release(r.suspects)
		if err := r.store(result, convicted); err != nil {
			r.ledger.options.Logger.Warn().Err(err).Stringer("digest", r.suspects[0]).Stringer("result", result).
				Msg("Storing the end of a trial failed; other hosts wait until it would have ended at the latest.")
		}
	})
}

// store writes the end of the trial. Its rows may have other revisions than the write at
// its beginning returned.
func (r *Run) store(result Result, convicted []quarantine.Digest) error {
	changes := make([]rowChange, 0, len(r.changes))
	for _, c := range r.changes {
		ended := endedRow(*c.row, result, slices.Contains(convicted, c.digest))
		changes = append(changes, rowChange{digest: c.digest, row: ended, revision: r.ledger.revisionOf(c.digest)})
	}
	err := r.ledger.replace(changes)
	var conflict *storage.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	changes = slices.DeleteFunc(changes, func(c rowChange) bool { return r.isLost(conflict, c) })
	for i := range changes {
		if current, conflicts := conflictingRow(conflict, changes[i].digest); conflicts {
			changes[i].revision = current.Revision
		}
	}
	r.ledger.seeConflict(r.suspects, conflict)
	if len(changes) == 0 {
		return nil
	}
	return r.ledger.replace(changes)
}

// isLost reports whether the lease of this trial is over for a suspect and another one has
// begun.
func (r *Run) isLost(conflict *storage.ConflictError, c rowChange) bool {
	current, conflicts := conflictingRow(conflict, c.digest)
	if !conflicts {
		return false
	}
	row, err := decodeRecord(current.Value)
	return err != nil || row.Token != r.token
}

// endedRow returns the row of an ended trial, or nil if none is needed.
func endedRow(row record, result Result, convicted bool) *record {
	row.Ended = true
	row.Crashed = row.Crashed || result == Crashed && convicted
	if result == Withdrawn {
		row.Runs--
	}
	if result == Survived || row.Runs == 0 {
		return nil
	}
	return &row
}

// replace replaces rows by those of an ended trial.
func (l *Ledger) replace(changes []rowChange) error {
	written, err := l.write(context.Background(), endTimeout, changes)
	if err != nil {
		return err
	}
	l.seeWritten(changes, written)
	return nil
}

func (l *Ledger) revisionOf(digest quarantine.Digest) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.contentOf(digest).revision
}
