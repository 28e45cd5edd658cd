package recovery

import (
	"context"
	"time"

	"github.com/cornelyard/cornelyard/internal/standin/faultproxy"
)

// measureDataCentreRejoined partitions a data centre, heals the partition and returns how
// long it takes until all hosts see each other alive.
func (m *measurement) measureDataCentreRejoined(ctx context.Context) (time.Duration, error) {
	if err := m.setFarPartitioned(true); err != nil {
		return 0, err
	}
	time.Sleep(partitionTime)
	if err := m.setFarPartitioned(false); err != nil {
		return 0, err
	}
	healed := time.Now()
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	err := m.waitAlive(ctx, len(m.cluster.Hosts))
	return time.Since(healed), err
}

func (m *measurement) setFarPartitioned(cut bool) error {
	return m.cluster.SetDataCentreFaults(near, far, faultproxy.Faults{Cut: cut})
}
