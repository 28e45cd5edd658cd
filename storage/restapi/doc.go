// Package restapi defines the HTTP and JSON representation of the platform's services:
// the paths, query parameters and messages that client and server share.
//
//	GET    /v1/row?key=K                        Row, or 404
//	GET    /v1/rows?prefix=P&after=K&limit=N    Rows, in key order
//	POST   /v1/transactions                     Transaction in; CommitResult, or 409 with Rows
//	GET    /v1/object?name=N                    the bytes, or 404
//	PUT    /v1/object?name=N                    204
//	DELETE /v1/object?name=N                    204
//	GET    /v1/hosts                            Hosts
//
// Statuses 429 and 503 guarantee that nothing was changed. Each response states the length of its
// body or has chunks; clients reject others, whose end can't be verified.
package restapi
