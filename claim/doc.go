// Package claim makes a non-idempotent request run at most once.
//
// A request is known by its team and its idempotency key. Before its dispatch a
// row is inserted, if absent, into the platform's table, with the claimer's host
// and incarnation and a token of its own. Nobody takes a claim over, whatever
// happens to the claimer, so a claimer that was frozen and woke up cannot
// collide with anyone. A claim ends as completed, with the kept answer, or as
// unknown; only a claim whose request surely did not run is released, and only
// by its token.
//
// A lost confirmation is resolved by reading the row back and comparing the
// tokens. If that can't be done in time the request is refused, and the row, if
// it exists, is released in the background.
package claim
