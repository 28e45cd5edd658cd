package membership

import (
	"context"
	"time"
)

// readHostList reads the platform's host list again and again.
func (t *Tracker) pollHostList(ctx context.Context) error {
	ticker := time.NewTicker(t.options.HostListInterval)
	defer ticker.Stop()
	readable := false
	for {
		err := t.fetchHostList(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if ok := err == nil; ok != readable {
			readable = ok
			t.logHostListChange(err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (t *Tracker) logHostListChange(err error) {
	if err != nil {
		t.options.Logger.Warn().Err(err).Msg("The host list is not readable.")
		return
	}
	t.options.Logger.Info().Msg("The host list is readable.")
}

func (t *Tracker) fetchHostList(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, hostListTimeout)
	defer cancel()
	hosts, err := t.options.HostList.Hosts(ctx)
	if err != nil {
		return err
	}
	t.enqueue(hostListInput{hosts: hosts})
	return nil
}
