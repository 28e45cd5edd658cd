package storage

import "github.com/cornelyard/cornelyard/ident"

// HostRole tells what runs on a host.
type HostRole string

const (
	// RoleEntry marks a host of this system.
	RoleEntry HostRole = "entry"
	// RoleTarget marks a host that runs a target.
	RoleTarget HostRole = "target"
)

// HostState is the platform's view of a host.
type HostState string

const (
	// HostLive marks a host in service.
	HostLive HostState = "live"
	// HostLeaving marks a host that must get no new work.
	HostLeaving HostState = "leaving"
)

// HostEntry is one line of the host list.
type HostEntry struct {
	// Name is the host's name, or the target's name for RoleTarget.
	Name       string           `json:"name"`
	Role       HostRole         `json:"role"`
	DataCentre ident.DataCentre `json:"dataCentre"`
	// Address is the peer address of an entry host or the address of a target,
	// as IP:port.
	Address string    `json:"address"`
	State   HostState `json:"state"`
}
