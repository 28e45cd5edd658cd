package membership

import (
	"context"
	"time"
)

// readHostList reads the platform's host list again and again.
func (t *Tracker) readHostList(ctx context.Context) error {
	ticker := time.NewTicker(t.options.HostListInterval)
	defer ticker.Stop()
	for {
		t.readHostListOnce(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (t *Tracker) readHostListOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, hostListTimeout)
	defer cancel()
	hosts, err := t.options.HostList.Hosts(ctx)
	if err != nil {
		t.options.Logger.Debug().Err(err).Msg("Host list not read.")
		return
	}
	t.post(hostListInput{hosts: hosts})
}
