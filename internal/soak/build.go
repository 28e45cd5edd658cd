package soak

import (
	"time"

	"github.com/cornelyard/cornelyard/config"
	"github.com/cornelyard/cornelyard/internal/former"
	"github.com/cornelyard/cornelyard/internal/testbed"
	"github.com/cornelyard/cornelyard/settings"
)

const (
	currentBuild = "this build"
	formerBuild  = "former build"
)

// build is a build of cornelyard-gateway.
type build struct {
	name   string
	binary string
	// extend adds the settings that only this build knows, or is nil. Hosts reject a settings
	// file with unknown fields.
	extend func(*config.Gateway)
}

// settingsOf returns the settings of a host that runs the build.
func (b *build) settingsOf(base config.Gateway) config.Gateway {
	if b.extend != nil {
		b.extend(&base)
	}
	return base
}

// builds holds the build under test and the former one, which is nil if there is none.
type builds struct{ current, former *build }

// newBuilds builds this commit, and the former one unless it is empty.
func newBuilds(commit string) (*builds, error) {
	binaries, err := testbed.Build()
	if err != nil {
		return nil, err
	}
	b := &builds{current: &build{name: currentBuild, binary: binaries.Gateway}}
	if commit == "" {
		return b, nil
	}
	before, err := former.Get(commit)
	if err != nil {
		return nil, err
	}
	b.former = &build{name: formerBuild, binary: before.Gateway}
	b.current.extend = addNewSettings
	return b, nil
}

// first returns the build that hosts run at the start.
func (b *builds) first() *build {
	if b.former != nil {
		return b.former
	}
	return b.current
}

// linkMbps is the bandwidth of a usual host's link.
const linkMbps = 10

// addNewSettings enables rollouts, fair shares and the limit on states, which need settings that
// a former build rejects.
func addNewSettings(c *config.Gateway) {
	c.LinkMbps = linkMbps
	c.Contracts = []string{"pressure", "rollout"}
	c.Rollout = &config.Rollout{ExposureShare: 0.1, ExposureAllowance: 50, RollbackTime: settings.Duration(5 * time.Second)}
}
