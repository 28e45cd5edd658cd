// Package engine is a stand-in for a model engine. It serves the
// OpenAI-compatible completions and chat completions, whole and streamed,
// batches continuously, keeps a prompt prefix cache of limited size, and knows
// no priorities.
//
// Target listener:
//
//	POST /v1/chat/completions         a chat completion
//	POST /v1/completions              a completion
//	GET  /v1/streams/{id}?after=N     the stream of the run id from token N+1 on
//	POST /v1/streams/{id}/cancel      stops the run
//	GET  /load                        Load, some time old
//
// The request's X-Request-Id names the run. The answer repeats it in its
// X-Request-Id header and, as "chatcmpl-" or "cmpl-" plus the id, in each chunk.
// Each token's frame has an "id:" line with the token's offset from 1; the
// frames after the last token repeat the last offset.
//
// A stream whose connection is closed goes on for the resume window and is
// cancelled if nobody resumes it. The answer's content follows from the prompt
// alone; see Answer.
//
// Control listener:
//
//	POST /faults   Faults, replaces all faults
//	GET  /record   Record
package engine
