// Package ident defines the identifier types that are shared by all packages.
//
// The types are strings, so that identifiers appear unchanged in JSON, protobuf
// messages and logs. An empty value means "none".
package ident
