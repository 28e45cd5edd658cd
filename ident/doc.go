// Package ident holds the typed names that the parts of the system exchange.
//
// The types are plain strings, so that they travel unchanged through JSON,
// protobuf and log lines. An empty value means "none".
package ident
