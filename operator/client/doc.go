// Package client calls the operators' HTTP interface of a system. It tries the
// given hosts in turn.
package client
