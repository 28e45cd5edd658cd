package recovery

import (
	"context"
	"time"
)

// measureOwnerKilled kills the owner and immediately makes a call through another host.
func (m *measurement) measureOwnerKilled(ctx context.Context) (time.Duration, error) {
	owner, entry := m.ownerAndEntry()
	if err := owner.Kill(); err != nil {
		return 0, err
	}
	elapsed, err := complete(ctx, entry)
	if err != nil {
		return 0, err
	}
	return elapsed, m.restart(ctx, owner)
}
