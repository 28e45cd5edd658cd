package target

import "net/http"

// Answer is a target's answer whose head has arrived.
type Answer struct {
	Status int
	Header http.Header
	// Stream says that the answer is a stream of server-sent events.
	Stream bool
	// Length is the number of bytes of the body, or -1 if it is not known. A
	// stream's is never known, since it may be cut and resumed.
	Length int64
	// Whole says that the body was read to its end and checked before.
	Whole bool

	source chunkSource
}

// chunkSource reads an answer's body.
type chunkSource interface {
	// next returns io.EOF only at the end of a whole answer.
	next() (Chunk, error)
	close()
}

// Next returns the next chunk. It returns io.EOF only if the answer was whole,
// and a *Failure otherwise. The chunk is valid until the next call.
func (a *Answer) Next() (Chunk, error) { return a.source.next() }

// Close releases the connection. It must be called once.
func (a *Answer) Close() { a.source.close() }
