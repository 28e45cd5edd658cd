// Package target dispatches one request to one target and reads its answer.
//
// A dispatch happens at most once. Three mechanisms stand behind that, each
// enough by itself against a silent resend by net/http:
//
//   - the outgoing request cannot be replayed: its body cannot be rewound, also
//     if it is empty, and the headers that make net/http take a request for
//     replayable are removed;
//   - a connection writes only for the dispatch it was handed to, and is closed
//     when it is handed to a dispatch whose Latch is already set;
//   - redirects are not followed.
//
// An answer is whole only if its terminal marker or its declared length says so.
// A cut stream is continued on the same target if the target can do that;
// everything else ends in a *Failure.
package target
