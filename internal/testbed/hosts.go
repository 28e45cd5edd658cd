package testbed

import (
	"context"
	"path/filepath"
	"strings"

	"github.com/cornelyard/cornelyard/config"
	"github.com/cornelyard/cornelyard/internal/loopback"
	"github.com/cornelyard/cornelyard/settings"
	"github.com/cornelyard/cornelyard/storage"
)

// sharedPeerKey is the peer key of all hosts: 32 bytes in hex.
var sharedPeerKey = strings.Repeat("5a", 32)

// startHosts registers the hosts and the targets in the platform's host list and
// starts the daemons.
func (c *Cluster) startHosts(context.Context) error {
	for _, spec := range c.Spec.Hosts {
		host, err := c.newHost(spec)
		if err != nil {
			return err
		}
		c.Hosts = append(c.Hosts, host)
	}
	if err := c.Platform.SetHosts(c.HostEntries()); err != nil {
		return err
	}
	for _, host := range c.Hosts {
		if err := c.startHost(host); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) newHost(spec HostSpec) (*Host, error) {
	h := &Host{
		Settings: config.Host{
			Host:                spec.Name,
			DataCentre:          spec.DataCentre,
			PeerKeys:            []string{sharedPeerKey},
			OperatorTokenHashes: []string{settings.TokenHash(OperatorToken)},
			Timing:              c.Spec.Timing,
			Limits:              c.Spec.Limits,
		},
		onStart: c.registerProcess,
	}
	for _, address := range []*string{&h.Settings.CallerAddress, &h.Settings.PeerAddress, &h.Settings.OperatorAddress} {
		free, err := loopback.FreeAddress()
		if err != nil {
			return nil, err
		}
		*address = free
	}
	return h, c.setHostAddresses(h)
}

// setHostAddresses sets the addresses at which the host reaches the platform and at
// which other hosts reach it.
func (c *Cluster) setHostAddresses(h *Host) error {
	peerAddress, err := c.proxiedAddress(peerLink(h.Settings.Host), h.Settings.PeerAddress)
	if err != nil {
		return err
	}
	if peerAddress != h.Settings.PeerAddress {
		h.Settings.AdvertisedPeerAddress = peerAddress
	}
	platformAddress, err := c.proxiedAddress(platformLink(h.Settings.Host), c.Platform.Address)
	h.Settings.Platform = "http://" + platformAddress
	return err
}

// startHost starts a daemon for the first time. Its seeds are all other hosts.
func (c *Cluster) startHost(h *Host) error {
	for _, other := range c.Hosts {
		if other != h {
			h.Settings.Seeds = append(h.Settings.Seeds, other.peerAddress())
		}
	}
	name := string(h.Settings.Host)
	path := filepath.Join(c.dir, name+".json")
	if err := h.writeSettings(path); err != nil {
		return err
	}
	h.Process = c.newProcess(name, c.Binaries.Daemon, "--settings", path)
	return h.Start()
}

// registerProcess registers the host's current process with the fault proxy.
func (c *Cluster) registerProcess(h *Host) error {
	if c.proxy == nil {
		return nil
	}
	return c.proxy.setSource(string(h.Settings.Host), h.PID())
}

// peerAddress returns the address that other hosts dial.
func (h *Host) peerAddress() string {
	if h.Settings.AdvertisedPeerAddress != "" {
		return h.Settings.AdvertisedPeerAddress
	}
	return h.Settings.PeerAddress
}

// HostEntries returns the platform's host list with all hosts and targets live.
func (c *Cluster) HostEntries() []storage.HostEntry {
	var entries []storage.HostEntry
	for _, h := range c.Hosts {
		entries = append(entries, storage.HostEntry{
			Name:       string(h.Settings.Host),
			Role:       storage.RoleEntry,
			DataCentre: h.Settings.DataCentre,
			Address:    h.peerAddress(),
			State:      storage.HostLive,
		})
	}
	for _, spec := range c.Spec.Targets {
		declared := c.Targets[spec.Name].Declared
		entries = append(entries, storage.HostEntry{
			Name:       string(declared.Name),
			Role:       storage.RoleTarget,
			DataCentre: declared.DataCentre,
			Address:    declared.Address,
			State:      storage.HostLive,
		})
	}
	return entries
}
