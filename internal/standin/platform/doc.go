// Package platform is a stand-in for the platform's services: a table with
// conditional transactions, an object store and a host list that is visible with a
// delay. It serves the protocol of package restapi.
//
// Control listener:
//
//	POST /faults   Faults, replaces all faults
//	PUT  /hosts    restapi.Hosts, the current list; visible after HostLag
//	GET  /counts   Counts
package platform
