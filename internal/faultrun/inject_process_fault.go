package faultrun

import (
	"context"
	"time"

	"github.com/cornelyard/cornelyard/internal/testbed"
)

func (i *injector) killAndRestartHost(f fault) error {
	i.mu.Lock()
	i.kills[f.host.ID()] = append(i.kills[f.host.ID()], time.Now())
	i.mu.Unlock()
	return i.injectFor(f, f.host.Kill, func() error { return i.restartHost(f.host) })
}

func (i *injector) restartHost(host *testbed.Host) error {
	i.callers.setOutOfRotation(host.ID(), true)
	if err := host.Start(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	err := host.WaitReady(ctx)
	i.callers.setOutOfRotation(host.ID(), false)
	return err
}

// stopAndRestartHost stops a host gracefully and starts it again. The host is taken out
// of rotation before it is ordered to stop.
func (i *injector) stopAndRestartHost(f fault) error {
	s := plannedStop{host: f.host.ID(), span: span{from: time.Now()}}
	i.callers.setOutOfRotation(f.host.ID(), true)
	if err := f.host.Terminate(); err != nil {
		return err
	}
	status, err := f.host.Wait(stopTimeout)
	if err != nil {
		return err
	}
	s.status, s.span.to = status, time.Now()
	i.mu.Lock()
	i.stops = append(i.stops, s)
	i.mu.Unlock()
	return i.restartHost(f.host)
}

// killAndRestartEngine saves an engine's record, which is lost with the process, kills
// the engine and starts it again.
func (i *injector) killAndRestartEngine(f fault) error {
	if err := i.records.addEngine(f.targetName, f.target); err != nil {
		return err
	}
	return i.injectFor(f, f.target.Kill, func() error {
		if err := f.target.Start(); err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		return f.target.WaitListening(ctx)
	})
}
