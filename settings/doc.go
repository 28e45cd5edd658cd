// Package settings holds the declarations that operators and teams write: their
// types, their checks, their store on the platform and the watcher that brings
// each version into force on this host.
//
// A Snapshot is immutable: a new version replaces the old one whole.
package settings
