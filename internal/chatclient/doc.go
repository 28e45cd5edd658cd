// Package chatclient is a client of a host's caller API, for chat completions and
// plain services. It returns everything that a caller can observe of a response. Tests
// and benchmarks use it.
package chatclient
