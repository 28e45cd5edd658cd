package storage

import "context"

// HostList is the platform's list of live and leaving hosts. It lags.
type HostList interface {
	Hosts(ctx context.Context) ([]HostEntry, error)
}
