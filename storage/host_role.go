package storage

// HostRole is the kind of process that runs on a listed host.
type HostRole string

const (
	// RoleEntry is a host of this system.
	RoleEntry HostRole = "entry"
	// RoleTarget is a host that runs a target.
	RoleTarget HostRole = "target"
)
