package faultrun

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/storage"
)

// markTargetLeaving marks a target as leaving for longer than the grace period, so that
// dispatches after it can be checked.
func (i *injector) markTargetLeaving(f fault) error {
	if err := i.setLeaving(f.targetName, true); err != nil {
		return err
	}
	begin := time.Now()
	time.Sleep(leavingGrace + f.duration)
	i.mu.Lock()
	i.leavingSpans[f.targetName] = append(i.leavingSpans[f.targetName], span{from: begin.Add(leavingGrace), to: time.Now()})
	i.mu.Unlock()
	return i.setLeaving(f.targetName, false)
}

func (i *injector) setLeaving(name ident.Target, leaving bool) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.currentlyLeaving[name] = leaving
	entries := i.cluster.HostEntries()
	for n := range entries {
		if i.currentlyLeaving[ident.Target(entries[n].Name)] {
			entries[n].State = storage.HostLeaving
		}
	}
	return i.cluster.Platform.SetHosts(entries)
}
