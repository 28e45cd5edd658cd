package target

import (
	"errors"
	"io"
	"net/http"
	"slices"
)

const rawChunkBytes = 32 << 10

// raw is a plain service's answer, passed on as it arrives.
type raw struct {
	body   io.ReadCloser
	buffer []byte
	err    error
}

// newRaw refuses an answer whose end cannot be told from a cut.
func newRaw(call Call, response *http.Response) (*raw, error) {
	if !hasKnownEnd(call, response) {
		return nil, fail(FailedProtocol, Error.New("the answer has neither a length nor chunks"))
	}
	return &raw{body: response.Body, buffer: make([]byte, rawChunkBytes)}, nil
}

func hasKnownEnd(call Call, response *http.Response) bool {
	if response.ContentLength >= 0 || call.Method == http.MethodHead {
		return true
	}
	return slices.Contains(response.TransferEncoding, "chunked")
}

func (r *raw) next() (Chunk, error) {
	if r.err != nil {
		return Chunk{}, r.err
	}
	n, err := r.body.Read(r.buffer)
	if err != nil {
		r.err = rawEnd(err)
	}
	if n == 0 && r.err != nil {
		return Chunk{}, r.err
	}
	return Chunk{Bytes: r.buffer[:n]}, nil
}

func rawEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.EOF
	}
	return fail(FailedConnection, err)
}

func (r *raw) close() { _ = r.body.Close() }
