package testbed

import (
	"net/url"

	"github.com/cornelyard/cornelyard/internal/loopback"
	"github.com/cornelyard/cornelyard/internal/standin/faultproxy"
)

// proxy is the process of the fault proxy.
type proxy struct {
	Standin
}

// link opens a link to the target address and returns the address of the link.
func (p *proxy) link(name, target string) (string, error) {
	address, err := loopback.FreeAddress()
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
