// Package settings implements the settings documents that operators and teams write:
// their types, their validation, the Store that keeps them in the platform's table, and
// the Watcher that puts each version into force on this host.
//
// A Snapshot is immutable: each new version replaces the previous snapshot as a whole.
package settings
