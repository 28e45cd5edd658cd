package claim

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/cornelyard/cornelyard/storage"
)

const (
	readBackFirstWait = 20 * time.Millisecond
	readBackLongWait  = 500 * time.Millisecond
)

// Claim claims the request's key. It is called after the grant and right before
// the dispatch. The finding has a Claim, or says why there is none; the request
// must not be dispatched then.
func (c *Manager) Claim(ctx context.Context, r Request) Result {
	local := newLocalClaim(r, newToken())
	if present := c.local.add(local); present != nil {
		if present.digest != r.Digest {
			return Result{Refusal: refuseConflict()}
		}
		return Result{Refusal: refuseHeld()}
	}
	attempt := &claiming{claims: c, request: r, local: local}
	finding := attempt.run(ctx)
	if finding.Claim == nil {
		attempt.giveUp()
	}
	return finding
}

// claiming is one attempt to insert a claim's row.
type claiming struct {
	claims  *Manager
	request Request
	local   *localClaim
	// inserting is the write that has not been answered yet, or nil.
	inserting *write
	// uncertain says that a row with the own token may exist.
	uncertain bool
}

func (a *claiming) run(ctx context.Context) Result {
	bounded, cancel := context.WithTimeout(ctx, a.claims.options.ClaimTimeout)
	defer cancel()
	value, err := a.record().encode()
	if err != nil {
		return Result{Refusal: refuseUnavailable()}
	}
	waits := backoff.NewExponentialBackOff()
	waits.InitialInterval = readBackFirstWait
	waits.MaxInterval = readBackLongWait
	for {
		finding, final := a.insert(bounded, value)
		if final {
			return finding
		}
		finding, final = a.readBack(bounded)
		if final {
			return finding
		}
		if !sleep(bounded, waits.NextBackOff()) {
			return Result{Refusal: refuseUnavailable()}
		}
	}
}

func (a *claiming) record() *record {
	return &record{
		State:       stateHeld,
		Token:       a.local.token,
		Host:        a.claims.options.Host,
		Incarnation: a.claims.options.Incarnation,
		Request:     a.request.ID,
		Digest:      a.request.Digest,
		At:          time.Now().UTC(),
	}
}

// insert writes the row. It is final unless the confirmation was lost.
func (a *claiming) insert(ctx context.Context, value []byte) (finding Result, final bool) {
	w := newWrite(a.local.key, 0, value)
	if !a.claims.committer.submit(ctx, w) {
		return Result{Refusal: refuseUnavailable()}, true
	}
	a.inserting = w
	var result writeResult
	select {
	case result = <-w.done:
	case <-ctx.Done():
		a.uncertain = true
		return Result{Refusal: refuseUnavailable()}, true
	}
	a.inserting = nil
	switch {
	case result.conflict != nil:
		return a.compare(ctx, *result.conflict), true
	case result.err == nil:
		return a.won(result.revision), true
	case errors.Is(result.err, storage.ErrUnavailable) && !a.uncertain:
		a.claims.outage.seen(time.Now())
		return Result{Refusal: refuseUnavailable()}, true
	default:
		a.uncertain = true
		return Result{}, false
	}
}

// readBack looks whether an unconfirmed row is there. It is not final if the
// row is absent or can't be read.
func (a *claiming) readBack(ctx context.Context) (finding Result, final bool) {
	row, err := a.claims.get(ctx, a.local.key)
	if err != nil {
		return Result{}, false
	}
	return a.compare(ctx, row), true
}

// compare tells the own row from another's by the token.
func (a *claiming) compare(ctx context.Context, row storage.Row) Result {
	held, err := decodeRecord(row.Value)
	if err == nil && held.Token == a.local.token {
		return a.won(row.Revision)
	}
	a.uncertain = false
	return a.claims.judge(ctx, a.request, row.Value)
}

func (a *claiming) won(revision uint64) Result {
	return Result{Claim: &Claim{
		claims:   a.claims,
		local:    a.local,
		record:   a.record(),
		revision: revision,
	}}
}

// giveUp ends the local claim. A row that may exist is released in the
// background; until then resends that reach this host are refused.
func (a *claiming) giveUp() {
	a.local.end(Result{}, true)
	if !a.uncertain {
		a.claims.local.remove(a.local)
		return
	}
	held := &Claim{claims: a.claims, local: a.local, record: a.record()}
	a.claims.settle(&settlement{claim: held, inserting: a.inserting, release: true})
}

// sleep returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
