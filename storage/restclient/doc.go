// Package restclient is an HTTP client of the platform's services, with the protocol
// that package restapi defines.
//
// A Client sends each call once and never retries. Callers may retry reads. After
// storage.ErrUnknownOutcome, a caller must read the current state before it repeats
// the write.
package restclient
