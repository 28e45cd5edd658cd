package membership

import (
	"context"
	"time"
)

// readHostList reads the platform's host list again and again.
func (t *Tracker) readHostList(ctx context.Context) error {
	ticker := time.NewTicker(t.options.HostListInterval)
	defer ticker.Stop()
	readable := true
	for {
		err := t.readHostListOnce(ctx)
		if ctx.Err() == nil && readable != (err == nil) {
			readable = err == nil
			t.options.Logger.Warn().Bool("readable", readable).Err(err).Msg("The host list's state changed.")
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (t *Tracker) readHostListOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, hostListTimeout)
	defer cancel()
	hosts, err := t.options.HostList.Hosts(ctx)
	if err != nil {
		return err
	}
	t.post(hostListInput{hosts: hosts})
	return nil
}
