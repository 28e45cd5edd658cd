// Package claim ensures that a non-idempotent request runs at most once.
//
// A request is identified by its team and idempotency key. Before the dispatch the
// key is claimed: a row is inserted into the platform's table unless one exists. It
// holds the host and incarnation of the process that claims the key and a unique
// token. A claim is never taken over, even if its holder appears to be dead, so a
// process that resumes after a long pause cannot run a request that another host
// has started. A claim ends as completed, with the stored response, or as unknown.
// It is released only if its request certainly did not run, and only by the process
// that knows its token.
//
// If the result of an insertion is unclear, the row is read back and the tokens are
// compared. If that does not succeed in time, the request is refused, and the row, if
// it exists, is released in the background.
package claim
