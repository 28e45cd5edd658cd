package claim

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/cornelyard/cornelyard/storage"
)

const (
	finalizeInitialBackoff = 50 * time.Millisecond
	finalizeMaxBackoff     = 5 * time.Second
	// requiredAbsentReads is the number of reads that must not find a row that may
	// exist before it is considered never written.
	requiredAbsentReads = 3
)

// finalization writes the final state of one claim to the platform. It retries until
// the write is confirmed or the process stops.
type finalization struct {
	claim *Claim
	// pendingInsert is the insertion of the row if its result is outstanding, or nil.
	pendingInsert *write
	// release deletes the row; otherwise the claim's record is written.
	release bool
	// response is the response that remains to be stored, or nil.
	response *StoredResponse

	absentReads int
}

// finalize runs the finalization in the background.
func (m *Manager) finalize(f *finalization) {
	if !m.beginFinalization() {
		f.logUnfinished()
		return
	}
	m.finalizationSlots <- struct{}{}
	go func() {
		defer m.finalizing.Done()
		defer func() { <-m.finalizationSlots }()
		f.run(m.finalizeCtx)
	}()
}

func (f *finalization) run(ctx context.Context) {
	f.awaitInsert(ctx)
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval = finalizeInitialBackoff
	retryBackoff.MaxInterval = finalizeMaxBackoff
	for !f.try(ctx) {
		if !sleep(ctx, retryBackoff.NextBackOff()) {
			f.logUnfinished()
			return
		}
	}
	f.claim.manager.local.remove(f.claim.local)
}

func (f *finalization) logUnfinished() {
	f.claim.manager.options.Logger.Warn().Str("request", string(f.claim.record.Request)).
		Msg("Process stops before the final state of the claim is written")
}

// awaitInsert waits for the result of the claim's own insertion, so that it cannot
// take effect after the finalization.
func (f *finalization) awaitInsert(ctx context.Context) {
	if f.pendingInsert == nil {
		return
	}
	select {
	case result := <-f.pendingInsert.done:
		if result.err == nil && result.conflict == nil {
			f.claim.revision = result.revision
		}
	case <-ctx.Done():
	}
}

// try makes one attempt to write the final state. It returns true if no further
// attempt is needed.
func (f *finalization) try(ctx context.Context) bool {
	if !f.storeResponse(ctx) {
		return false
	}
	if f.claim.revision == 0 {
		return f.refreshRevision(ctx)
	}
	value, err := f.value()
	if err != nil {
		return true
	}
	w := newWrite(f.claim.local.key, f.claim.revision, value)
	if !f.claim.manager.committer.enqueue(ctx, w) {
		return false
	}
	select {
	case result := <-w.done:
		return f.handleWriteResult(result)
	case <-ctx.Done():
		return false
	}
}

func (f *finalization) value() ([]byte, error) {
	if f.release {
		return nil, nil
	}
	return f.claim.record.encode()
}

// storeResponse stores the response unless that is done already. It returns false if
// the write failed.
func (f *finalization) storeResponse(ctx context.Context) bool {
	if f.response == nil {
		return true
	}
	data, err := json.Marshal(f.response)
	if err != nil {
		return false
	}
	name := responseObjectPrefix + string(f.claim.local.token)
	ctx, cancel := context.WithTimeout(ctx, f.claim.manager.options.CommitTimeout)
	defer cancel()
	if err := f.claim.manager.options.Objects.Put(ctx, name, data); err != nil {
		return false
	}
	f.claim.record.Response = name
	f.response = nil
	return true
}

func (f *finalization) handleWriteResult(result writeResult) bool {
	if result.conflict != nil {
		return f.reconcile(*result.conflict)
	}
	return result.err == nil
}

// refreshRevision reads the revision of the row. It returns true if no further
// attempt is needed.
func (f *finalization) refreshRevision(ctx context.Context) bool {
	row, err := f.claim.manager.get(ctx, f.claim.local.key)
	if errors.Is(err, storage.ErrNotFound) {
		f.absentReads++
		return f.absentReads >= requiredAbsentReads
	}
	if err != nil {
		return false
	}
	return f.reconcile(row)
}

// reconcile adopts the revision of the current row if the row belongs to the claim and
// still has to be written. It returns true if no further attempt is needed.
func (f *finalization) reconcile(row storage.Row) bool {
	if row.Revision == 0 {
		return true
	}
	stored, err := decodeRecord(row.Value)
	if err != nil || stored.Token != f.claim.local.token {
		return true
	}
	if !f.release && stored.State != stateHeld {
		return true
	}
	f.claim.revision = row.Revision
	return false
}
