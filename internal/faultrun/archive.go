package faultrun

import (
	"sync"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/standin/engine"
	"github.com/cornelyard/cornelyard/internal/testbed"
)

// archive holds the targets' own records, also those of killed processes.
type archive struct {
	mu sync.Mutex
	// received counts the requests by dispatch id over all targets.
	received map[string]int
	// prompts holds the digests of the prompts that engines received.
	prompts map[uint64]bool
	// keys counts the filings by idempotency key over all services.
	keys map[string]int
	// times holds when each engine received requests.
	times map[ident.Target][]time.Time
}

func newArchive() *archive {
	return &archive{
		received: make(map[string]int),
		prompts:  make(map[uint64]bool),
		keys:     make(map[string]int),
		times:    make(map[ident.Target][]time.Time),
	}
}

// takeEngine adds the record of an engine. It is called once for each process.
func (a *archive) takeEngine(name ident.Target, target *testbed.Target) error {
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

func (a *archive) addRun(name ident.Target, run engine.RunRecord) {
	a.received[run.ID]++
	a.prompts[run.PromptDigest] = true
	a.times[name] = append(a.times[name], run.Received)
}

// takeService adds the record of a service.
func (a *archive) takeService(target *testbed.Target) error {
	record, err := target.ServiceRecord()
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, count := range record.ReceivedCounts() {
		a.received[id] += count
	}
	for key, count := range record.ReceivedKeyCounts() {
		a.keys[key] += count
	}
	return nil
}

// takeAll adds the records of all targets.
func (a *archive) takeAll(cluster *testbed.Cluster) error {
	for _, spec := range cluster.Spec.Targets {
		target := cluster.Targets[spec.Name]
		var err error
		if spec.Pool == desk {
			err = a.takeService(target)
		} else {
			err = a.takeEngine(spec.Name, target)
		}
		if err != nil {
			return err
		}
	}
	return nil
}
