package target

import "net/http"

// Response is a target's response whose header has arrived.
type Response struct {
	Status int
	Header http.Header
	// Stream reports whether the body is a stream of server-sent events.
	Stream bool
	// Length is the length of the body in bytes, or -1 if it is unknown. It is
	// always unknown for a stream, which may be interrupted and resumed.
	Length int64
	// Buffered reports that the complete body has been read and validated.
	Buffered bool

	reader chunkReader
}

// chunkReader reads a response body.
type chunkReader interface {
	// next returns io.EOF only at the end of a complete body.
	next() (Chunk, error)
	close()
}

// Next returns the next chunk, which is valid until the next call. At the end it
// returns io.EOF if the body was complete and a *Failure otherwise.
func (r *Response) Next() (Chunk, error) { return r.reader.next() }

// Close releases the connection. It must be called exactly once.
func (r *Response) Close() { r.reader.close() }
