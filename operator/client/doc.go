// Package client is a client of the operators' HTTP interface. It tries the
// configured hosts in turn.
package client
