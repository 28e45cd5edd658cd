package daemon

import (
	"context"

	"github.com/oklog/run"

	"github.com/cornelyard/cornelyard/timeline"
	"github.com/cornelyard/cornelyard/trial"
)

// Run serves until ctx ends and then shuts down gracefully: in-flight requests
// are completed, unless the drain limit passes. It returns an error if a
// component fails, such as a listener whose address is in use.
func (d *Daemon) Run(ctx context.Context) error {
	var group run.Group
	d.addActor(&group, d.mesh.Run)
	d.addActor(&group, d.tracker.Run)
	d.addActor(&group, d.hosts.Run)
	d.addActor(&group, d.settings.Run)
	d.addActor(&group, d.publishSettingsVersion)
	d.addActor(&group, d.client.Run)
	d.addActor(&group, d.manager.Run)
	d.addActor(&group, d.claims.Run)
	d.addActor(&group, d.sweeper.Run)
	d.addActor(&group, d.watchTrials)
	d.addActor(&group, d.operator.Run)
	d.addActor(&group, d.operator.ReplicateUsage)
	d.addActor(&group, newUsageMetrics(d.metrics.Scope, d.usage, d.ring).run)
	d.addEntry(ctx, &group)
	err := group.Run()
	d.targets.Close()
	_ = d.metrics.Closer.Close()
	return err
}

func (d *Daemon) addActor(group *run.Group, serve func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error { return serve(ctx) }, func(error) { cancel() })
}

// addEntry adds the entry. It drains when ctx ends, while the other components
// keep running; they stop when the drain is complete.
func (d *Daemon) addEntry(ctx context.Context, group *run.Group) {
	ctx, cancel := context.WithCancel(ctx)
	stopWatching := context.AfterFunc(ctx, d.beginDrain)
	group.Add(func() error {
		defer stopWatching()
		err := d.entry.Run(ctx)
		d.ring.Record(timeline.Event{Kind: timeline.DrainEnded})
		return err
	}, func(error) { cancel() })
}

// beginDrain marks this host as leaving, so that other hosts take over its pools.
func (d *Daemon) beginDrain() {
	d.logger.Info().Msg("Graceful shutdown started: other hosts take over the pools while the entry drains.")
	d.ring.Record(timeline.Event{Kind: timeline.DrainBegan})
	d.tracker.SetLeaving()
}

// watchTrials follows the contents on trial until ctx ends.
func (d *Daemon) watchTrials(ctx context.Context) error {
	return d.trials.Run(ctx, trial.ScanOptions{Sweeps: d.isSweeper, OnContents: d.manager.SetSuspects})
}
