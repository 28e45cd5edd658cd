package config

import (
	"cmp"
	"os"

	"github.com/cornelyard/cornelyard/finding"
	"github.com/cornelyard/cornelyard/internal/strictjson"
)

// LoadGateway reads the settings file of a gateway. If the file has faults, the error
// is a finding.List with all of them.
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

// ParseGateway decodes and validates the text of a gateway's settings file and returns
// all findings. The file name is used only in the findings.
func ParseGateway(file string, data []byte) (*Gateway, finding.List) {
	var gateway Gateway
	findings := strictjson.Decode(file, data, &gateway)
	gateway.LogLevel = cmp.Or(gateway.LogLevel, defaultLogLevel)
	c := &gatewayChecker{findingCollector{file: file, data: data, findings: findings}, gateway}
	c.check()
	c.findings.Sort()
	return &gateway, c.findings
}

// gatewayChecker collects the findings of a gateway's settings file.
type gatewayChecker struct {
	findingCollector
	gateway Gateway
}

func (c *gatewayChecker) check() {
	g := c.gateway
	c.checkName("host", string(g.Host))
	c.checkName("dataCentre", string(g.DataCentre))
	c.checkAddress("callerAddress", g.CallerAddress)
	c.checkAddress("readinessAddress", g.ReadinessAddress)
	c.checkAddress("peerAddress", g.PeerAddress)
	c.checkAddress("metricsAddress", g.MetricsAddress)
	c.checkAddress("storeAddress", g.StoreAddress)
	c.checkLogLevel(g.LogLevel)
	if g.MemoryMB <= 0 {
		c.add("memoryMB", "the process may use no memory", "1 or more megabytes")
	}
	if g.LinkMbps < 0 {
		c.add("linkMbps", "the bandwidth is negative", "0 or more megabits per second")
	}
	if g.StopTime <= 0 {
		c.add("stopTime", "there is no time to stop", "more than 0s")
	}
	if g.DrainTime < 0 {
		c.add("drainTime", "the time is negative", "0s or more")
	}
	if g.ContactTime < 0 {
		c.add("contactTime", "the time is negative", "0s or more")
	}
	c.checkProcessors()
	c.checkRetryBudget()
	c.checkQuota()
	c.checkRollout()
}

func (c *gatewayChecker) checkRollout() {
	r := c.gateway.Rollout
	if r == nil {
		return
	}
	if r.ExposureShare <= 0 || r.ExposureShare > 1 {
		c.add("rollout.exposureShare", "a version on trial would get no requests, or more than there are", "more than 0, at most 1")
	}
	if r.ExposureAllowance < 0 {
		c.add("rollout.exposureAllowance", "the allowance is negative", "0 or more")
	}
	if r.RollbackTime <= 0 {
		c.add("rollout.rollbackTime", "there is no time to roll a version back", "more than 0s")
	}
}

func (c *gatewayChecker) checkProcessors() {
	if c.gateway.Processors < 0 {
		c.add("processors", "the number of processors is negative", "0 or more")
	}
}

func (c *gatewayChecker) checkQuota() {
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

func (c *gatewayChecker) checkRetryBudget() {
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
