package entry

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/outcome"
)

// writeRefusal writes the refusal as an error in the format of the OpenAI API.
func (e *Entry) writeRefusal(c echo.Context, id ident.Request, r *refusal) error {
	header := c.Response().Header()
	header.Set(headerOutcome, string(r.Outcome))
	header.Set(headerReason, string(r.Reason))
	header.Set(headerRequestID, string(id))
	setRetryAfter(header, r.RetryAfter)
	_ = http.NewResponseController(c.Response()).SetWriteDeadline(time.Now().Add(writeTimeout))
	return c.JSON(r.Reason.Status(), newErrorBody(r, string(id)))
}

// setRetryAfter sets Retry-After, in seconds rounded up, and Retry-After-Ms for
// clients that support it. Without a delay it asks clients not to retry.
func setRetryAfter(header http.Header, after time.Duration) {
	if after <= 0 {
		header.Set(headerShouldRetry, "false")
		return
	}
	seconds := (after + time.Second - 1) / time.Second
	header.Set(headerRetryAfter, strconv.FormatInt(int64(seconds), 10))
	header.Set(headerRetryAfterMs, strconv.FormatInt(after.Milliseconds(), 10))
}

// handleError responds to requests that match no route and to handler errors.
func (e *Entry) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var httpError *echo.HTTPError
	if errors.As(err, &httpError) {
		e.writeRoutingError(c, httpError.Code)
		return
	}
	e.logger().Error().Err(err).Msg("HTTP handler failed; responding with status 500")
	e.writeRoutingError(c, http.StatusInternalServerError)
}

func (e *Entry) writeRoutingError(c echo.Context, status int) {
	r := newRefusal(outcome.BadRequest, http.StatusText(status))
	header := c.Response().Header()
	header.Set(headerOutcome, string(r.Outcome))
	header.Set(headerReason, string(r.Reason))
	_ = c.JSON(status, newErrorBody(r, ""))
}
