package policy

import "github.com/cornelyard/cornelyard/internal/testbed"

// prefill holds the prompt tokens that all engines computed, and those of them that were
// wasted.
type prefill struct {
	computed int64
	wasted   int64
}

func readPrefill(cluster *testbed.Cluster) (prefill, error) {
	var sum prefill
	for _, target := range cluster.Targets {
		record, err := target.EngineRecord()
		if err != nil {
			return sum, err
		}
		sum.computed += record.PrefillTokens
		sum.wasted += record.WastedPrefillTokens
	}
	return sum, nil
}
