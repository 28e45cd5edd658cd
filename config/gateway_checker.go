package config

import (
	"cmp"
	"os"

	"github.com/cornelyard/cornelyard/finding"
	"github.com/cornelyard/cornelyard/internal/strictjson"
)

// LoadGateway reads the settings file of a gateway. If anything in it is wrong, the
// error is a finding.List with every fault.
func LoadGateway(path string) (*Gateway, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	gateway, findings := ParseGateway(path, data)
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return gateway, nil
}

// ParseGateway reads the text of a gateway's settings file and returns every
// finding. The file is only named in them.
func ParseGateway(file string, data []byte) (*Gateway, finding.List) {
	var gateway Gateway
	findings := strictjson.Decode(file, data, &gateway)
	gateway.LogLevel = cmp.Or(gateway.LogLevel, defaultLogLevel)
	c := &gatewayChecker{collector{file: file, data: data, findings: findings}, gateway}
	c.check()
	c.findings.Sort()
	return &gateway, c.findings
}

// gatewayChecker collects the findings of a gateway's settings file.
type gatewayChecker struct {
	collector
	gateway Gateway
}

func (c *gatewayChecker) check() {
	g := c.gateway
	c.name("host", string(g.Host))
	c.name("dataCentre", string(g.DataCentre))
	c.address("callerAddress", g.CallerAddress)
	c.address("readinessAddress", g.ReadinessAddress)
	c.address("peerAddress", g.PeerAddress)
	c.address("metricsAddress", g.MetricsAddress)
	c.address("storeAddress", g.StoreAddress)
	c.logLevel(g.LogLevel)
	if g.MemoryMB <= 0 {
		c.add("memoryMB", "the process may use no memory", "1 or more megabytes")
	}
	if g.StopTime <= 0 {
		c.add("stopTime", "there is no time to stop", "more than 0s")
	}
	c.retryBudget()
	c.quota()
}

func (c *gatewayChecker) quota() {
	q := c.gateway.Quota
	if q.Window <= 0 {
		c.add("quota.window", "the window has no length", "more than 0s")
	}
	if q.Overage < 0 {
		c.add("quota.overage", "the overage is negative", "0 or more")
	}
	if q.Allowance < 0 {
		c.add("quota.allowance", "the allowance is negative", "0 or more")
	}
}

func (c *gatewayChecker) retryBudget() {
	b := c.gateway.RetryBudget
	if b.Ratio < 0 {
		c.add("retryBudget.ratio", "the ratio is negative", "0 or more")
	}
	if b.Allowance < 0 {
		c.add("retryBudget.allowance", "the allowance is negative", "0 or more")
	}
	if b.Window <= 0 {
		c.add("retryBudget.window", "the window has no length", "more than 0s")
	}
}
