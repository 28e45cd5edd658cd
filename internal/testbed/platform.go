package testbed

import (
	standinplatform "github.com/cornelyard/cornelyard/internal/standin/platform"
	"github.com/cornelyard/cornelyard/storage"
	"github.com/cornelyard/cornelyard/storage/restapi"
)

// Platform is the process of the stand-in for the platform.
type Platform struct {
	Standin
}

// SetFaults replaces the faults of the platform.
func (p *Platform) SetFaults(f standinplatform.Faults) error {
	return p.control.post("/faults", f, nil)
}

// SetHosts replaces the platform's host list.
func (p *Platform) SetHosts(hosts []storage.HostEntry) error {
	return p.control.do("PUT", "/hosts", restapi.Hosts{Hosts: hosts}, nil)
}

// Counts returns the number of calls that the platform received.
func (p *Platform) Counts() (standinplatform.Counts, error) {
	var counts standinplatform.Counts
	err := p.control.get("/counts", &counts)
	return counts, err
}
