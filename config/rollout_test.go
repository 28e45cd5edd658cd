package config_test

import (
	"strings"
	"testing"

	"github.com/cornelyard/cornelyard/config"
)

const gatewaySettings = `{
  "host": "h1", "dataCentre": "near", "callerAddress": "10.0.0.1:1", "readinessAddress": "10.0.0.1:2",
  "peerAddress": "10.0.0.1:3", "metricsAddress": "10.0.0.1:4", "storeAddress": "10.0.0.2:1",
  "memoryMB": 500, "stopTime": "4s",
  "quota": {"window": "8s", "overage": 0.1, "allowance": 10}, "retryBudget": {"ratio": 0.2, "allowance": 10, "window": "10s"}ROLLOUT
}`

// Guards against rollouts where none are configured, and against bounds that no version can keep.
func TestSettingsOfRollouts(t *testing.T) {
	parse := func(rollout string) (*config.Gateway, error) {
		g, findings := config.ParseGateway("g.json", []byte(strings.Replace(gatewaySettings, "ROLLOUT", rollout, 1)))
		return g, findings.Err()
	}
	if g, err := parse(``); err != nil || g.Rollout != nil {
		t.Errorf("without bounds: %+v, error %v", g.Rollout, err)
	}
	g, err := parse(`,"rollout": {"exposureShare": 0.1, "exposureAllowance": 50, "rollbackTime": "5000ms"}`)
	if err != nil || g.Rollout == nil || g.Rollout.RollbackTime.Std().Seconds() != 5 {
		t.Errorf("with bounds: %+v, error %v", g.Rollout, err)
	}
	_, err = parse(`,"rollout": {"exposureShare": 1.5, "exposureAllowance": -1, "rollbackTime": "0s"}`)
	for _, field := range []string{"rollout.exposureShare", "rollout.exposureAllowance", "rollout.rollbackTime"} {
		if err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("error %v does not name %s", err, field)
		}
	}
}
