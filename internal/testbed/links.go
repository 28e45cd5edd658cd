package testbed

import (
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/standin/faultproxy"
)

func peerLink(host ident.Host) string       { return "peer-" + string(host) }
func platformLink(host ident.Host) string   { return "platform-" + string(host) }
func targetLink(target ident.Target) string { return "target-" + string(target) }

// proxiedAddress returns the address at which to reach a destination: that of a new
// link of the fault proxy if the cluster has one, otherwise the destination's own.
func (c *Cluster) proxiedAddress(link, address string) (string, error) {
	if c.proxy == nil {
		return address, nil
	}
	return c.proxy.link(link, address)
}

// SetPeerFaults replaces the faults between two hosts, regardless of which of them
// opened the connection. CutToTarget delays the bytes from the first host to the
// second, CutToClient those from the second to the first.
func (c *Cluster) SetPeerFaults(from, to ident.Host, f faultproxy.Faults) error {
	if err := c.proxy.setFaults(peerLink(to), string(from), f); err != nil {
		return err
	}
	f.CutToTarget, f.CutToClient = f.CutToClient, f.CutToTarget
	return c.proxy.setFaults(peerLink(from), string(to), f)
}

// ResetPeers resets the connections between two hosts.
func (c *Cluster) ResetPeers(a, b ident.Host) error {
	if err := c.proxy.reset(peerLink(a), string(b)); err != nil {
		return err
	}
	return c.proxy.reset(peerLink(b), string(a))
}

// SetPlatformFaults replaces the faults between a host and the platform.
func (c *Cluster) SetPlatformFaults(host ident.Host, f faultproxy.Faults) error {
	return c.proxy.setFaults(platformLink(host), "", f)
}

// SetTargetFaults replaces the faults between a host and a target. An empty host means
// all hosts.
func (c *Cluster) SetTargetFaults(host ident.Host, target ident.Target, f faultproxy.Faults) error {
	return c.proxy.setFaults(targetLink(target), string(host), f)
}

// ResetTarget resets the connections of a host to a target. An empty host means all
// hosts.
func (c *Cluster) ResetTarget(host ident.Host, target ident.Target) error {
	return c.proxy.reset(targetLink(target), string(host))
}

// SetDataCentreFaults replaces the faults between all hosts of one data centre
// and all hosts of another.
func (c *Cluster) SetDataCentreFaults(a, b ident.DataCentre, f faultproxy.Faults) error {
	for _, from := range c.hostsIn(a) {
		for _, to := range c.hostsIn(b) {
			if err := c.SetPeerFaults(from, to, f); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *Cluster) hostsIn(dc ident.DataCentre) []ident.Host {
	var hosts []ident.Host
	for _, h := range c.Hosts {
		if h.Settings.DataCentre == dc {
			hosts = append(hosts, h.ID())
		}
	}
	return hosts
}
