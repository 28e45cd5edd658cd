package storage

import "github.com/cornelyard/cornelyard/ident"

// HostRole is the kind of process that runs on a listed host.
type HostRole string

const (
	// RoleEntry is a host of this system.
	RoleEntry HostRole = "entry"
	// RoleTarget is a host that runs a target.
	RoleTarget HostRole = "target"
)

// HostState is the state of a host according to the platform.
type HostState string

const (
	// HostLive is a host in service.
	HostLive HostState = "live"
	// HostLeaving is a host that must not be given new requests.
	HostLeaving HostState = "leaving"
)

// HostEntry is one entry of the host list.
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
