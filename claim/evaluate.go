package claim

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/cornelyard/cornelyard/storage"
)

// evaluate derives the result for a request from an existing claim on its key.
func (m *Manager) evaluate(ctx context.Context, r Request, value []byte) Result {
	existing, err := decodeRecord(value)
	if err != nil {
		m.options.Logger.Error().Err(err).Str("key", r.rowKey()).Msg("Claim record cannot be decoded; refusing the request with an unknown outcome")
		return Result{Refusal: refuseUnknown()}
	}
	if existing.Digest != r.Digest {
		return Result{Refusal: refuseConflict()}
	}
	switch existing.State {
	case stateCompleted:
		return m.loadResponse(ctx, existing)
	case stateHeld:
		return m.evaluateHeld(existing)
	default:
		return Result{Refusal: refuseUnknown()}
	}
}

func (m *Manager) evaluateHeld(existing *record) Result {
	if !m.holderAlive(existing) {
		return Result{Refusal: refuseUnknown()}
	}
	return Result{Refusal: refuseHeld()}
}

func (m *Manager) holderAlive(existing *record) bool {
	if existing.Host == m.options.Host {
		return existing.Incarnation == m.options.Incarnation
	}
	return m.options.Alive(Holder{Host: existing.Host, Incarnation: existing.Incarnation, ClaimedAt: existing.At})
}

func (m *Manager) loadResponse(ctx context.Context, existing *record) Result {
	if existing.Response == "" {
		return Result{Refusal: refuseNotStored()}
	}
	ctx, cancel := context.WithTimeout(ctx, m.options.LookupTimeout)
	defer cancel()
	data, err := m.options.Objects.Get(ctx, existing.Response)
	if errors.Is(err, storage.ErrNotFound) {
		return Result{Refusal: refuseNotStored()}
	}
	if err != nil {
		return Result{Refusal: refuseResponseUnavailable()}
	}
	response := new(StoredResponse)
	if json.Unmarshal(data, response) != nil {
		return Result{Refusal: refuseNotStored()}
	}
	return Result{Response: response}
}
