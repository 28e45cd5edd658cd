// Package soak runs cornelyard-gateway processes against stand-ins of the users'
// platform, injects random faults, and checks the promises from what callers and
// targets observe.
//
// Faults are injected by a loopback proxy on the connections to the store and the
// targets, by signals to the host processes, and by the stand-ins. A seed makes the
// fault schedule and the calls reproducible, but not the timing of the processes.
package soak
