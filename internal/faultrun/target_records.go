package faultrun

import (
	"sync"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/standin/engine"
	"github.com/cornelyard/cornelyard/internal/testbed"
)

// targetRecords collects what the targets recorded, including killed processes.
type targetRecords struct {
	mu sync.Mutex
	// dispatchCounts counts the requests by dispatch ID over all targets.
	dispatchCounts map[string]int
	// promptDigests holds the digests of the prompts that engines received.
	promptDigests map[uint64]bool
	// filingCounts counts the filings by idempotency key over all services.
	filingCounts map[string]int
	// receivedTimes holds the times at which each engine received requests.
	receivedTimes map[ident.Target][]time.Time
}

func newTargetRecords() *targetRecords {
	return &targetRecords{
		dispatchCounts: make(map[string]int),
		promptDigests:  make(map[uint64]bool),
		filingCounts:   make(map[string]int),
		receivedTimes:  make(map[ident.Target][]time.Time),
	}
}

// addEngine adds the record of an engine. It must be called once for each process, as
// requests are counted.
func (a *targetRecords) addEngine(name ident.Target, target *testbed.Target) error {
	record, err := target.EngineRecord()
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, run := range record.Runs {
		a.addRun(name, run)
	}
	return nil
}

func (a *targetRecords) addRun(name ident.Target, run engine.RunRecord) {
	a.dispatchCounts[run.ID]++
	a.promptDigests[run.PromptDigest] = true
	a.receivedTimes[name] = append(a.receivedTimes[name], run.Received)
}

// addService adds the record of a service.
func (a *targetRecords) addService(target *testbed.Target) error {
	record, err := target.ServiceRecord()
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, count := range record.ReceivedCounts() {
		a.dispatchCounts[id] += count
	}
	for key, count := range record.ReceivedKeyCounts() {
		a.filingCounts[key] += count
	}
	return nil
}

// addAll adds the records of all running targets.
func (a *targetRecords) addAll(cluster *testbed.Cluster) error {
	for _, spec := range cluster.Spec.Targets {
		target := cluster.Targets[spec.Name]
		var err error
		if spec.Pool == desk {
			err = a.addService(target)
		} else {
			err = a.addEngine(spec.Name, target)
		}
		if err != nil {
			return err
		}
	}
	return nil
}
