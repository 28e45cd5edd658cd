// Package storage defines what the system asks of the platform's services: a
// transactional table, an object store and a list of hosts.
//
// Every call may fail with ErrUnavailable, which promises that nothing was
// changed, or, for writes, with ErrUnclear, after which the change may or may
// not have taken effect and must be read back.
package storage
