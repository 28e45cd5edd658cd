// Package engine is a stand-in for a model engine. It serves the
// OpenAI-compatible completions and chat completions, streamed or not, uses
// continuous batching, has a prompt prefix cache of limited size, and has no
// priorities.
//
// Target listener:
//
//	POST /v1/chat/completions         a chat completion
//	POST /v1/completions              a completion
//	GET  /v1/streams/{id}?after=N     resumes the stream of a run at token N+1
//	POST /v1/streams/{id}/cancel      cancels a run
//	GET  /load                        Load, LoadLag old
//
// The request's X-Request-Id is the ID of the run. The response returns it in the
// X-Request-Id header and, prefixed with "chatcmpl-" or "cmpl-", in each chunk.
// The event of each token has an "id:" line with the token's offset, counted from
// 1. The events after the last token repeat the last offset.
//
// A run whose stream is disconnected continues for the resume window and is
// cancelled unless it is resumed. The content of the response depends only on the
// prompt; see ResponseText.
//
// Control listener:
//
//	POST /faults   Faults, replaces all faults
//	GET  /record   Record
package engine
