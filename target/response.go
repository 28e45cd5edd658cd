package target

import "net/http"

// Response is a target's answer whose head has arrived.
type Response struct {
	Status int
	Header http.Header
	// Stream says that the answer is a stream of server-sent events.
	Stream bool
	// Length is the number of bytes of the body, or -1 if it is not known. A
	// stream's is never known, since it may be cut and resumed.
	Length int64
	// Buffered says that the body was read to its end and checked before.
	Buffered bool

	reader chunkReader
}

// chunkSource reads an answer's body.
type chunkReader interface {
	// next returns io.EOF only at the end of a whole answer.
	next() (Chunk, error)
	close()
}

// Next returns the next chunk. It returns io.EOF only if the answer was whole,
// and a *Failure otherwise. The chunk is valid until the next call.
func (a *Response) Next() (Chunk, error) { return a.reader.next() }

// Close releases the connection. It must be called once.
func (a *Response) Close() { a.reader.close() }
