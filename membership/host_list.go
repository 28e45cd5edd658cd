package membership

import (
	"context"
	"time"
)

// readHostList reads the platform's host list again and again.
func (t *Tracker) readHostList(ctx context.Context) error {
	ticker := time.NewTicker(t.options.HostListInterval)
	defer ticker.Stop()
	readable := false
	for {
		err := t.readHostListOnce(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if now := err == nil; now != readable {
			readable = now
			t.noteHostList(err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (t *Tracker) noteHostList(err error) {
	if err != nil {
		t.options.Logger.Warn().Err(err).Msg("The host list is not readable.")
		return
	}
	t.options.Logger.Info().Msg("The host list is readable.")
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
