// Package api defines the messages and paths of the operators' HTTP interface,
// shared by the operator listener and its clients. Bodies are JSON. All requests
// need a bearer token, except those for health, readiness and metrics.
//
//	POST /v1/apply      ApplyRequest; returns settings.Result
//	GET  /v1/documents  Documents; parameters version and prefix
//	GET  /v1/history    History; parameters after and limit
//	GET  /v1/status     Status
//	POST /v1/timeline   TimelineQuery; returns Timeline
//	GET  /v1/usage      Usage
//
// The response to a refused request is an ErrorReply.
package api
