package storage

// HostState is the state of a host according to the platform.
type HostState string

const (
	// HostLive is a host in service.
	HostLive HostState = "live"
	// HostLeaving is a host that must not be given new requests.
	HostLeaving HostState = "leaving"
)
