// Package api holds the messages and paths of the operators' HTTP interface,
// which the operator listener and its clients share. Bodies are JSON; each
// request but those for health and metrics carries a bearer token.
//
//	POST /v1/apply      ApplyRequest; answered with settings.Result
//	GET  /v1/documents  Documents; parameters version and prefix
//	GET  /v1/history    History; parameters after and limit
//	GET  /v1/status     Status
//	POST /v1/timeline   TimelineQuery; answered with Timeline
//	GET  /v1/usage      Usage
//
// A refused request is answered with ErrorReply.
package api
