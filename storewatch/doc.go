// Package storewatch keeps copies of tables of the store up to date.
//
// A watcher reads a whole table once and then waits for changes with one call after the other. It reads
// the whole table again if the store no longer has the changes, or has returned from an older copy. How
// long a call waits is decided by package freshness.
package storewatch
