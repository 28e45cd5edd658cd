package testbed

import (
	"github.com/cornelyard/cornelyard/internal/standin"
	"github.com/cornelyard/cornelyard/internal/standin/engine"
	"github.com/cornelyard/cornelyard/internal/standin/service"
	"github.com/cornelyard/cornelyard/settings"
)

// Target is the process of the stand-in for a target.
type Target struct {
	Standin
	// Declared is the declaration of the target when the cluster started.
	Declared settings.Target

	journal string
}

// ReceivedCounts counts the requests that the target accepted for execution by ID,
// across restarts.
func (t *Target) ReceivedCounts() (map[string]int, error) {
	counts, err := standin.ReadJournal(t.journal)
	return counts, Error.Wrap(err)
}

// SetEngineFaults replaces the faults of an engine.
func (t *Target) SetEngineFaults(f engine.Faults) error {
	return t.control.post("/faults", f, nil)
}

// EngineRecord returns what an engine processed since its last start.
func (t *Target) EngineRecord() (engine.Record, error) {
	var record engine.Record
	err := t.control.get("/record", &record)
	return record, err
}

// SetServiceFaults replaces the faults of a plain service.
func (t *Target) SetServiceFaults(f service.Faults) error {
	return t.control.post("/faults", f, nil)
}

// ServiceRecord returns what a plain service processed since its last start.
func (t *Target) ServiceRecord() (service.Record, error) {
	var record service.Record
	err := t.control.get("/record", &record)
	return record, err
}
