package storage

import "context"

// HostList is the platform's list of live and leaving hosts. It is eventually
// consistent: a change becomes visible with a delay.
type HostList interface {
	Hosts(ctx context.Context) ([]HostEntry, error)
}
