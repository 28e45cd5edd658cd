package daemon

import (
	"context"
	"time"

	"github.com/oklog/run"

	"github.com/cornelyard/cornelyard/timeline"
)

// Run serves until ctx ends, and then stops gracefully: no request in progress
// is cut, unless the drain limit passes. It returns an error if a part fails,
// such as a listener whose address is in use.
func (d *Daemon) Run(ctx context.Context) error {
	var group run.Group
	d.addActor(&group, d.mesh.Run)
	d.addActor(&group, d.tracker.Run)
	d.addActor(&group, d.hosts.Run)
	d.addActor(&group, d.settings.Run)
	d.addActor(&group, d.announceSettings)
	d.addActor(&group, d.client.Run)
	d.addActor(&group, d.manager.Run)
	d.addActor(&group, d.entry.Run)
	d.addStopper(ctx, &group)
	err := group.Run()
	d.targets.Close()
	_ = d.metrics.Closer.Close()
	return err
}

func (d *Daemon) addActor(group *run.Group, serve func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error { return serve(ctx) }, func(error) { cancel() })
}

// addStopper adds the actor that waits for ctx and then drains the host. The
// other parts run until it is done.
func (d *Daemon) addStopper(ctx context.Context, group *run.Group) {
	failed, cancel := context.WithCancel(context.Background())
	group.Add(func() error {
		select {
		case <-ctx.Done():
			return d.drain(failed)
		case <-failed.Done():
			return nil
		}
	}, func(error) { cancel() })
}

// drain gives up the pools, lets the balancer notice, and waits for the
// requests in progress.
func (d *Daemon) drain(failed context.Context) error {
	d.logger.Info().Msg("A planned stop begins.")
	d.ring.Record(timeline.Event{Kind: timeline.DrainBegan})
	d.tracker.SetLeaving()
	d.entry.SetLeaving()
	select {
	case <-failed.Done():
		return nil
	case <-time.After(d.config.Timing.ReadinessDelay.Std()):
	}
	err := d.entry.Drain(failed)
	d.ring.Record(timeline.Event{Kind: timeline.DrainEnded})
	d.logger.Info().Msg("The planned stop is complete.")
	return err
}
