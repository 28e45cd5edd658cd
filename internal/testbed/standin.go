package testbed

import (
	"net/url"

	"github.com/cornelyard/cornelyard/internal/standin/engine"
	"github.com/cornelyard/cornelyard/internal/standin/faultproxy"
	standinplatform "github.com/cornelyard/cornelyard/internal/standin/platform"
	"github.com/cornelyard/cornelyard/internal/standin/service"
	"github.com/cornelyard/cornelyard/platform"
	"github.com/cornelyard/cornelyard/platform/restapi"
	"github.com/cornelyard/cornelyard/settings"
)

// Standin is the process of one stand-in.
type Standin struct {
	*Process
	// Address is where it serves, without the fault proxy.
	Address string
	control control
}

// Target is the process of a target's stand-in.
type Target struct {
	Standin
	// Declared is how the target was declared at the start.
	Declared settings.Target
}

// SetEngineFaults replaces the faults of an engine.
func (t *Target) SetEngineFaults(f engine.Faults) error {
	return t.control.post("/faults", f, nil)
}

// EngineRecord reads what an engine did since its start.
func (t *Target) EngineRecord() (engine.Record, error) {
	var record engine.Record
	err := t.control.get("/record", &record)
	return record, err
}

// SetServiceFaults replaces the faults of a plain service.
func (t *Target) SetServiceFaults(f service.Faults) error {
	return t.control.post("/faults", f, nil)
}

// ServiceRecord reads what a plain service did since its start.
func (t *Target) ServiceRecord() (service.Record, error) {
	var record service.Record
	err := t.control.get("/record", &record)
	return record, err
}

// Platform is the process of the platform's stand-in.
type Platform struct {
	Standin
}

// SetFaults replaces the faults of the platform.
func (p *Platform) SetFaults(f standinplatform.Faults) error {
	return p.control.post("/faults", f, nil)
}

// SetHosts replaces the true host list.
func (p *Platform) SetHosts(hosts []platform.HostEntry) error {
	return p.control.do("PUT", "/hosts", restapi.Hosts{Hosts: hosts}, nil)
}

// Counts reads how many calls reached the platform.
func (p *Platform) Counts() (standinplatform.Counts, error) {
	var counts standinplatform.Counts
	err := p.control.get("/counts", &counts)
	return counts, err
}

// proxy is the process of the fault proxy.
type proxy struct {
	Standin
}

// link opens a link to the target address and returns the address to use in its
// place.
func (p *proxy) link(name, target string) (string, error) {
	address, err := FreeAddress()
	if err != nil {
		return "", err
	}
	options := faultproxy.LinkOptions{Name: name, Listen: address, Target: target}
	return address, p.control.post("/links", options, nil)
}

func (p *proxy) setSource(source string, pid int) error {
	return p.control.post("/sources", faultproxy.Source{Name: source, PID: pid}, nil)
}

func (p *proxy) setFaults(link, source string, f faultproxy.Faults) error {
	return p.control.post(linkPath(link, "faults", source), f, nil)
}

func (p *proxy) reset(link, source string) error {
	return p.control.post(linkPath(link, "reset", source), nil, nil)
}

func linkPath(link, call, source string) string {
	path := "/links/" + url.PathEscape(link) + "/" + call
	if source == "" {
		return path
	}
	return path + "?source=" + url.QueryEscape(source)
}
