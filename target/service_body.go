package target

import (
	"errors"
	"io"
	"net/http"
	"slices"
)

const serviceChunkBytes = 32 << 10

// serviceBody is a plain service's response body. It is forwarded as it arrives.
type serviceBody struct {
	body   io.ReadCloser
	buffer []byte
	err    error
}

// newServiceBody rejects a response whose regular end cannot be distinguished from
// a broken connection.
func newServiceBody(call Call, response *http.Response) (*serviceBody, error) {
	if !hasKnownEnd(call, response) {
		return nil, newFailure(FailedProtocol, Error.New("response has neither Content-Length nor chunked encoding, so its end cannot be verified"))
	}
	return &serviceBody{body: response.Body, buffer: make([]byte, serviceChunkBytes)}, nil
}

func hasKnownEnd(call Call, response *http.Response) bool {
	if response.ContentLength >= 0 || call.Method == http.MethodHead {
		return true
	}
	return slices.Contains(response.TransferEncoding, "chunked")
}

func (r *serviceBody) next() (Chunk, error) {
	if r.err != nil {
		return Chunk{}, r.err
	}
	n, err := r.body.Read(r.buffer)
	if err != nil {
		r.err = serviceBodyError(err)
	}
	if n == 0 && r.err != nil {
		return Chunk{}, r.err
	}
	return Chunk{Bytes: r.buffer[:n]}, nil
}

func serviceBodyError(err error) error {
	if errors.Is(err, io.EOF) {
		return io.EOF
	}
	return newFailure(FailedConnection, err)
}

func (r *serviceBody) close() { _ = r.body.Close() }
