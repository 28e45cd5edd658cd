// Package stage starts the gateways of a small deployment as processes, with a stand-in of the platform's store
// and stand-ins of replicas, all on loopback addresses. The cases of the second review use it.
package stage
