package claim

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/cornelyard/cornelyard/storage"
)

// judge tells what another claim on the request's key means for it.
func (c *Claims) judge(ctx context.Context, r Request, value []byte) Finding {
	held, err := decodeRecord(value)
	if err != nil {
		c.options.Logger.Error().Err(err).Str("key", r.rowKey()).Msg("Row is not readable")
		return Finding{Refusal: refuseUnknown()}
	}
	if held.Digest != r.Digest {
		return Finding{Refusal: refuseConflict()}
	}
	switch held.State {
	case stateCompleted:
		return c.keptAnswer(ctx, held)
	case stateHeld:
		return c.judgeHeld(held)
	default:
		return Finding{Refusal: refuseUnknown()}
	}
}

func (c *Claims) judgeHeld(held *record) Finding {
	if !c.claimerAlive(held) {
		return Finding{Refusal: refuseUnknown()}
	}
	return Finding{Refusal: refuseHeld()}
}

func (c *Claims) claimerAlive(held *record) bool {
	if held.Host == c.options.Host {
		return held.Incarnation == c.options.Incarnation
	}
	return c.options.Alive(held.Host, held.Incarnation)
}

func (c *Claims) keptAnswer(ctx context.Context, held *record) Finding {
	if held.Answer == "" {
		return Finding{Refusal: refuseNotKept()}
	}
	ctx, cancel := context.WithTimeout(ctx, c.options.LookupTimeout)
	defer cancel()
	data, err := c.options.Objects.Get(ctx, held.Answer)
	if errors.Is(err, storage.ErrNotFound) {
		return Finding{Refusal: refuseNotKept()}
	}
	if err != nil {
		return Finding{Refusal: refuseUnreadable()}
	}
	answer := new(Answer)
	if json.Unmarshal(data, answer) != nil {
		return Finding{Refusal: refuseNotKept()}
	}
	return Finding{Kept: answer}
}
