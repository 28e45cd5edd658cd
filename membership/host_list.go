package membership

import (
	"context"
	"time"
)

// pollHostList reads the platform's host list periodically until ctx is done.
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
		t.options.Logger.Warn().Err(err).Msg("Reading the platform's host list failed; retrying at the next interval.")
		return
	}
	t.options.Logger.Info().Msg("The platform's host list is readable.")
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
