// Package relay serves one request from its acceptance to its final answer: it
// checks the key and the quota, waits for a slot, sends the request to a target,
// passes the answer on, and repeats or resumes it where that is allowed.
//
// It speaks no wire format. A front end hands it a Call and a Sink for the answer;
// an Exchanger speaks to the targets.
package relay
