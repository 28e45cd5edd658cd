package storage

import "github.com/cornelyard/cornelyard/ident"

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
