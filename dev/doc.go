// Package dev runs a whole small system in one process, to try things out: a
// stand-in platform, three engines of unlike speed, one plain service and two
// entry hosts, all on loopback.
package dev
