package recovery

import (
	"context"
	"time"

	"github.com/cornelyard/cornelyard/internal/testbed"
)

// restart starts a host again and waits until every host sees all members alive.
func (m *measurement) restart(ctx context.Context, host *testbed.Host) error {
	if err := host.Start(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := host.WaitReady(ctx); err != nil {
		return err
	}
	return m.waitAlive(ctx, len(m.cluster.Hosts))
}

// waitAlive waits until every host sees n members alive.
func (m *measurement) waitAlive(ctx context.Context, n int) error {
	for ctx.Err() == nil {
		if m.allHostsSee(ctx, n) {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return Error.New("context ended before every host saw %d members alive", n)
}

func (m *measurement) allHostsSee(ctx context.Context, n int) bool {
	operator := m.cluster.Hosts[0].OperatorClient()
	defer operator.Close()
	status, err := operator.Status(ctx)
	if err != nil || len(status.Hosts) < n {
		return false
	}
	for _, host := range status.Hosts {
		if host.Alive != n {
			return false
		}
	}
	return true
}
