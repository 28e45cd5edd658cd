package claim

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/cornelyard/cornelyard/internal/periodic"
	"github.com/cornelyard/cornelyard/storage"
)

const (
	readBackInitialBackoff = 20 * time.Millisecond
	readBackMaxBackoff     = 500 * time.Millisecond
)

// Claim claims the request's key. It is called after the grant and immediately before
// the dispatch. The request may be dispatched only if the result contains a Claim.
func (m *Manager) Claim(ctx context.Context, r Request) Result {
	local := newLocalClaim(r, newToken())
	if existing := m.local.add(local); existing != nil {
		if existing.digest != r.Digest {
			return Result{Refusal: refuseConflict()}
		}
		return Result{Refusal: refuseHeld()}
	}
	attempt := &claimAttempt{manager: m, request: r, local: local}
	result := attempt.run(ctx)
	if result.Claim == nil {
		attempt.abort()
	}
	return result
}

// claimAttempt is one attempt to insert a claim's row.
type claimAttempt struct {
	manager *Manager
	request Request
	local   *localClaim
	// pendingInsert is the insertion whose result is outstanding, or nil.
	pendingInsert *write
	// rowMayExist reports that a row with this attempt's token may exist.
	rowMayExist bool
}

func (a *claimAttempt) run(ctx context.Context) Result {
	bounded, cancel := context.WithTimeout(ctx, a.manager.options.ClaimTimeout)
	defer cancel()
	value, err := a.record().encode()
	if err != nil {
		return Result{Refusal: refuseUnavailable()}
	}
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval = readBackInitialBackoff
	retryBackoff.MaxInterval = readBackMaxBackoff
	for {
		result, final := a.insert(bounded, value)
		if final {
			return result
		}
		result, final = a.readBack(bounded)
		if final {
			return result
		}
		if !sleep(bounded, retryBackoff.NextBackOff()) {
			return Result{Refusal: refuseUnavailable()}
		}
	}
}

func (a *claimAttempt) record() *record {
	return &record{
		State:       stateHeld,
		Token:       a.local.token,
		Host:        a.manager.options.Host,
		Incarnation: a.manager.options.Incarnation,
		Request:     a.request.ID,
		Digest:      a.request.Digest,
		At:          time.Now().UTC(),
	}
}

// insert writes the row. The result is final unless it is unclear whether the write
// took effect.
func (a *claimAttempt) insert(ctx context.Context, value []byte) (result Result, final bool) {
	w := newWrite(a.local.key, 0, value)
	if !a.manager.committer.enqueue(ctx, w) {
		return Result{Refusal: refuseUnavailable()}, true
	}
	a.pendingInsert = w
	var insertResult writeResult
	select {
	case insertResult = <-w.done:
	case <-ctx.Done():
		a.rowMayExist = true
		return Result{Refusal: refuseUnavailable()}, true
	}
	a.pendingInsert = nil
	switch {
	case insertResult.conflict != nil:
		return a.resolveByToken(ctx, *insertResult.conflict), true
	case insertResult.err == nil:
		return a.claimed(insertResult.revision), true
	case errors.Is(insertResult.err, storage.ErrUnavailable) && !a.rowMayExist:
		a.manager.circuitBreaker.recordFailure(time.Now())
		return Result{Refusal: refuseUnavailable()}, true
	default:
		a.rowMayExist = true
		return Result{}, false
	}
}

// readBack checks whether an unconfirmed insertion took effect. The result is not
// final if the row is absent or cannot be read.
func (a *claimAttempt) readBack(ctx context.Context) (result Result, final bool) {
	row, err := a.manager.get(ctx, a.local.key)
	if err != nil {
		return Result{}, false
	}
	return a.resolveByToken(ctx, row), true
}

// resolveByToken uses the token to find out whether the row belongs to this attempt.
func (a *claimAttempt) resolveByToken(ctx context.Context, row storage.Row) Result {
	existing, err := decodeRecord(row.Value)
	if err == nil && existing.Token == a.local.token {
		return a.claimed(row.Revision)
	}
	a.rowMayExist = false
	return a.manager.evaluate(ctx, a.request, row.Value)
}

func (a *claimAttempt) claimed(revision uint64) Result {
	return Result{Claim: &Claim{
		manager:  a.manager,
		local:    a.local,
		record:   a.record(),
		revision: revision,
	}}
}

// abort ends the local claim. If the row may exist, it is released in the background;
// until then this host refuses repeated requests.
func (a *claimAttempt) abort() {
	a.local.end(Result{}, true)
	if !a.rowMayExist {
		a.manager.local.remove(a.local)
		return
	}
	c := &Claim{manager: a.manager, local: a.local, record: a.record()}
	a.manager.finalize(&finalization{claim: c, pendingInsert: a.pendingInsert, release: true})
}

// sleep waits for the duration and returns true. It returns false as soon as ctx ends,
// and at once if ctx would end first.
func sleep(ctx context.Context, d time.Duration) bool {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= d {
		return false
	}
	return periodic.Sleep(ctx, d) && ctx.Err() == nil
}
