package claim

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/cornelyard/cornelyard/storage"
)

// judge tells what another claim on the request's key means for it.
func (c *Manager) judge(ctx context.Context, r Request, value []byte) Result {
	held, err := decodeRecord(value)
	if err != nil {
		c.options.Logger.Error().Err(err).Str("key", r.rowKey()).Msg("Row is not readable")
		return Result{Refusal: refuseUnknown()}
	}
	if held.Digest != r.Digest {
		return Result{Refusal: refuseConflict()}
	}
	switch held.State {
	case stateCompleted:
		return c.keptAnswer(ctx, held)
	case stateHeld:
		return c.judgeHeld(held)
	default:
		return Result{Refusal: refuseUnknown()}
	}
}

func (c *Manager) judgeHeld(held *record) Result {
	if !c.claimerAlive(held) {
		return Result{Refusal: refuseUnknown()}
	}
	return Result{Refusal: refuseHeld()}
}

func (c *Manager) claimerAlive(held *record) bool {
	if held.Host == c.options.Host {
		return held.Incarnation == c.options.Incarnation
	}
	return c.options.Alive(held.Host, held.Incarnation)
}

func (c *Manager) keptAnswer(ctx context.Context, held *record) Result {
	if held.Answer == "" {
		return Result{Refusal: refuseNotKept()}
	}
	ctx, cancel := context.WithTimeout(ctx, c.options.LookupTimeout)
	defer cancel()
	data, err := c.options.Objects.Get(ctx, held.Answer)
	if errors.Is(err, storage.ErrNotFound) {
		return Result{Refusal: refuseNotKept()}
	}
	if err != nil {
		return Result{Refusal: refuseUnreadable()}
	}
	answer := new(StoredResponse)
	if json.Unmarshal(data, answer) != nil {
		return Result{Refusal: refuseNotKept()}
	}
	return Result{Response: answer}
}
