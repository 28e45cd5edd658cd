// Package relay serves one request from its acceptance to its final response: it
// authenticates the team, charges its quota, waits for a slot, sends the request to a
// target, forwards the response, and retries or resumes the request where the route
// allows it.
//
// The package is independent of wire formats. A front end passes a Call and a Sink
// for the response; a TargetClient implements the protocol of the targets.
package relay
