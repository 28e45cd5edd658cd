package target

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/cornelyard/cornelyard/internal/bytebudget"
)

// bufferedBody is an engine's response body that was read completely and validated
// before it is forwarded.
type bufferedBody struct {
	chunk    Chunk
	consumed bool
	// reservation is the memory of the body.
	reservation *bytebudget.Reservation
}

func (w *bufferedBody) next() (Chunk, error) {
	if w.consumed {
		return Chunk{}, io.EOF
	}
	w.consumed = true
	return w.chunk, nil
}

func (w *bufferedBody) close() { w.reservation.Release() }

// readBuffered reads an engine's complete JSON response and checks that it is valid
// and carries the ID of the dispatch.
func (c *Client) readBuffered(call Call, response *http.Response) (chunkReader, error) {
	reservation := c.options.Budget.Reserve()
	reader, err := c.parseBuffered(call, response, reservation)
	if err != nil {
		reservation.Release()
		return nil, err
	}
	return reader, nil
}

func (c *Client) parseBuffered(call Call, response *http.Response, reservation *bytebudget.Reservation) (*bufferedBody, error) {
	body, err := io.ReadAll(reservation.Reader(io.LimitReader(response.Body, c.options.MaxBufferedBytes+1)))
	if errors.Is(err, bytebudget.ErrExhausted) {
		return nil, newFailure(FailedProtocol, err)
	}
	if err != nil {
		return nil, newFailure(FailedConnection, err)
	}
	if int64(len(body)) > c.options.MaxBufferedBytes {
		return nil, newFailure(FailedProtocol, errTooLarge)
	}
	_ = response.Body.Close()
	var message engineMessage
	if err := json.Unmarshal(body, &message); err != nil {
		return nil, newFailure(FailedProtocol, Error.New("response body is not a complete JSON document"))
	}
	if call.Target.EchoesID && isSuccess(response) && !matchesDispatch(message.ID, call.Dispatch) {
		c.recordRejected(call, "body")
		return nil, newFailure(FailedIDMismatch, Error.New("response body carries another dispatch ID or none"))
	}
	chunk := Chunk{Bytes: body, Usage: message.Usage}
	if message.Usage != nil {
		chunk.Tokens = message.Usage.CompletionTokens
	}
	return &bufferedBody{chunk: chunk, reservation: reservation}, nil
}

// isSuccess distinguishes results from error documents, which carry no ID.
func isSuccess(response *http.Response) bool {
	return response.StatusCode < http.StatusMultipleChoices
}
