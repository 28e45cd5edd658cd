// Package platform is a stand-in for the platform's services: a table with
// conditional transactions, an object store and a lagging host list, served as
// package restapi lays down.
//
// Control listener:
//
//	POST /faults   Faults, replaces all faults
//	PUT  /hosts    restapi.Hosts, the true list; it is seen after HostLag
//	GET  /counts   Counts
package platform
