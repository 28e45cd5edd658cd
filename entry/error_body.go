package entry

import (
	"encoding/json"
	"net/http"

	"github.com/cornelyard/cornelyard/outcome"
)

// errorBody is the JSON body of an error in the format of the OpenAI API.
type errorBody struct {
	Error errorDetail `json:"error"`
}

// errorDetail has the fields of the OpenAI API, followed by those of this system.
type errorDetail struct {
	Message      string          `json:"message"`
	Type         string          `json:"type"`
	Param        *string         `json:"param"`
	Code         outcome.Reason  `json:"code"`
	Outcome      outcome.Outcome `json:"outcome"`
	RetryAfterMs int64           `json:"retry_after_ms"`
	RequestID    string          `json:"request_id"`
}

func newErrorBody(r *refusal, requestID string) errorBody {
	detail := errorDetail{
		Message:      r.Message,
		Type:         errorType(r.Reason.Status()),
		Code:         r.Reason,
		Outcome:      r.Outcome,
		RetryAfterMs: r.RetryAfter.Milliseconds(),
		RequestID:    requestID,
	}
	if r.param != "" {
		detail.Param = &r.param
	}
	return errorBody{Error: detail}
}

func errorType(status int) string {
	switch status {
	case http.StatusUnauthorized:
		return "authentication_error"
	case http.StatusForbidden:
		return "permission_error"
	case http.StatusTooManyRequests:
		return "rate_limit_error"
	case http.StatusConflict:
		return "conflict_error"
	}
	if status >= http.StatusInternalServerError {
		return "server_error"
	}
	return "invalid_request_error"
}

// errorEvent returns the server-sent event that ends an incomplete stream.
func errorEvent(r *refusal, requestID string) []byte {
	data, err := json.Marshal(newErrorBody(r, requestID))
	if err != nil {
		data = []byte(`{"error":{"message":"the stream was cut","type":"server_error"}}`)
	}
	return append(append([]byte("data: "), data...), '\n', '\n')
}
