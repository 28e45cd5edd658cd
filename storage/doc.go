// Package storage defines the interfaces of the platform's services that the system
// uses: a transactional table, an object store and a list of hosts.
//
// Any call may fail with ErrUnavailable, which guarantees that nothing was changed. A
// write may also fail with ErrUnknownOutcome: it may or may not have taken effect, and
// the caller must read the row or object to find out.
package storage
