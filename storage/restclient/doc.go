// Package restclient reaches the platform's services over HTTP with JSON, as
// package restapi lays down.
//
// A Client sends each call once. Callers may repeat reads; a write that ended
// with storage.ErrUnclear must be read back first.
package restclient
