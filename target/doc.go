// Package target dispatches a request to a target and reads the response.
//
// A request is sent at most once per dispatch. Three mechanisms ensure this, each
// of which alone prevents net/http from silently resending a request:
//
//   - net/http cannot replay the request: its body, even an empty one, cannot be
//     rewound, and the header fields by which net/http recognizes a replayable
//     request are removed;
//   - a connection accepts writes only for the dispatch that it is assigned to, and
//     is closed if it is assigned to a dispatch whose SendLatch is already set;
//   - redirects are not followed.
//
// A response is complete only if its end-of-stream marker or its declared length
// confirms it. An interrupted stream is resumed on the same target if the target
// supports that; every other interruption results in a *Failure.
package target
