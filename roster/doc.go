// Package roster keeps the list of targets through outages of the store, and through its
// return from a copy that is some seconds old. The targets'
// entries may expire during an outage because they cannot be renewed, so an entry that
// is missing right after the store's return does not mean that its target is gone.
package roster
