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
	settleFirstWait = 50 * time.Millisecond
	settleLongWait  = 5 * time.Second
	// absentReads is how often in a row a row that may exist is read as absent
	// before it counts as never written.
	absentReads = 3
)

// settlement brings the end of one claim to the platform. It tries until that
// is confirmed or the process stops.
type settlement struct {
	claim *Claim
	// inserting is the insertion of the row if it was not answered yet.
	inserting *write
	// release deletes the row; else the claim's record is written.
	release bool
	// answer is kept, unless it is nil.
	answer *StoredResponse

	absent int
}

// settle runs the settlement in the background.
func (c *Manager) settle(s *settlement) {
	if !c.beginSettling() {
		s.logUnfinished()
		return
	}
	c.slots <- struct{}{}
	go func() {
		defer c.settling.Done()
		defer func() { <-c.slots }()
		s.run(c.stopping)
	}()
}

func (s *settlement) run(ctx context.Context) {
	s.awaitInsertion(ctx)
	waits := backoff.NewExponentialBackOff()
	waits.InitialInterval = settleFirstWait
	waits.MaxInterval = settleLongWait
	for !s.try(ctx) {
		if !sleep(ctx, waits.NextBackOff()) {
			s.logUnfinished()
			return
		}
	}
	s.claim.claims.local.remove(s.claim.local)
}

func (s *settlement) logUnfinished() {
	s.claim.claims.options.Logger.Warn().Str("request", string(s.claim.record.Request)).
		Msg("Process stops before the claim is settled")
}

// awaitInsertion waits until the own insertion can't take effect any more
// behind the settlement's back.
func (s *settlement) awaitInsertion(ctx context.Context) {
	if s.inserting == nil {
		return
	}
	select {
	case result := <-s.inserting.done:
		if result.err == nil && result.conflict == nil {
			s.claim.revision = result.revision
		}
	case <-ctx.Done():
	}
}

// try returns true if the platform has the end of the claim.
func (s *settlement) try(ctx context.Context) bool {
	if !s.keepAnswer(ctx) {
		return false
	}
	if s.claim.revision == 0 {
		return s.refresh(ctx)
	}
	value, err := s.value()
	if err != nil {
		return true
	}
	w := newWrite(s.claim.local.key, s.claim.revision, value)
	if !s.claim.claims.committer.submit(ctx, w) {
		return false
	}
	select {
	case result := <-w.done:
		return s.confirm(result)
	case <-ctx.Done():
		return false
	}
}

func (s *settlement) value() ([]byte, error) {
	if s.release {
		return nil, nil
	}
	return s.claim.record.encode()
}

// keepAnswer stores the answer, once.
func (s *settlement) keepAnswer(ctx context.Context) bool {
	if s.answer == nil {
		return true
	}
	data, err := json.Marshal(s.answer)
	if err != nil {
		return false
	}
	name := objectPrefix + string(s.claim.local.token)
	ctx, cancel := context.WithTimeout(ctx, s.claim.claims.options.CommitTimeout)
	defer cancel()
	if err := s.claim.claims.options.Objects.Put(ctx, name, data); err != nil {
		return false
	}
	s.claim.record.Answer = name
	s.answer = nil
	return true
}

func (s *settlement) confirm(result writeResult) bool {
	if result.conflict != nil {
		return s.compare(*result.conflict)
	}
	return result.err == nil
}

// refresh reads the row's revision.
func (s *settlement) refresh(ctx context.Context) bool {
	row, err := s.claim.claims.get(ctx, s.claim.local.key)
	if errors.Is(err, storage.ErrNotFound) {
		s.absent++
		return s.absent >= absentReads
	}
	if err != nil {
		return false
	}
	return s.compare(row)
}

// compare returns true if nothing is left to do. Only an own row is touched.
func (s *settlement) compare(row storage.Row) bool {
	if row.Revision == 0 {
		return true
	}
	held, err := decodeRecord(row.Value)
	if err != nil || held.Token != s.claim.local.token {
		return true
	}
	if !s.release && held.State != stateHeld {
		return true
	}
	s.claim.revision = row.Revision
	return false
}
