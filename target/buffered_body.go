package target

import (
	"encoding/json"
	"io"
	"net/http"
)

// whole is an engine's answer that was read and checked before it is passed on.
type bufferedBody struct {
	chunk    Chunk
	consumed bool
}

func (w *bufferedBody) next() (Chunk, error) {
	if w.consumed {
		return Chunk{}, io.EOF
	}
	w.consumed = true
	return w.chunk, nil
}

func (w *bufferedBody) close() {}

// readWhole reads an engine's JSON answer to its end and checks that it is
// whole and has the id of the dispatch.
func (c *Client) readBuffered(call Call, response *http.Response) (chunkReader, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, c.options.MaxBufferedBytes+1))
	if err != nil {
		return nil, newFailure(FailedConnection, err)
	}
	if int64(len(body)) > c.options.MaxBufferedBytes {
		return nil, newFailure(FailedProtocol, errTooLarge)
	}
	_ = response.Body.Close()
	var message engineMessage
	if err := json.Unmarshal(body, &message); err != nil {
		return nil, newFailure(FailedProtocol, Error.New("the answer is not a whole JSON document"))
	}
	if call.Target.EchoesID && isSuccess(response) && !matchesDispatch(message.ID, call.Dispatch) {
		c.recordRejected(call, "body")
		return nil, newFailure(FailedIDMismatch, Error.New("the answer has another dispatch id"))
	}
	chunk := Chunk{Bytes: body, Usage: message.Usage}
	if message.Usage != nil {
		chunk.Tokens = message.Usage.CompletionTokens
	}
	return &bufferedBody{chunk: chunk}, nil
}

// isSuccess tells answers from error documents, which have no id.
func isSuccess(response *http.Response) bool {
	return response.StatusCode < http.StatusMultipleChoices
}
