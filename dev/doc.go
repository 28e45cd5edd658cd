// Package dev runs a small complete system in one process for experiments: a
// stand-in platform, three engines of different speed, one plain service and two
// entry hosts, all on loopback.
package dev
