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

// writeRefusal answers with an error in the shape of the API.
func (e *Entry) writeRefusal(c echo.Context, id ident.Request, r *refusal) error {
	header := c.Response().Header()
	header.Set(headerOutcome, string(r.Outcome))
	header.Set(headerReason, string(r.Reason))
	header.Set(headerRequestID, string(id))
	setRetryAfter(header, r.RetryAfter)
	_ = http.NewResponseController(c.Response()).SetWriteDeadline(time.Now().Add(writeTimeout))
	return c.JSON(r.Reason.Status(), newErrorBody(r, string(id)))
}

// setRetryAfter tells when to come back, in whole seconds rounded up for all
// clients and in milliseconds for those that read it.
func setRetryAfter(header http.Header, after time.Duration) {
	if after <= 0 {
		header.Set(headerShouldRetry, "false")
		return
	}
	seconds := (after + time.Second - 1) / time.Second
	header.Set(headerRetryAfter, strconv.FormatInt(int64(seconds), 10))
	header.Set(headerRetryAfterMs, strconv.FormatInt(after.Milliseconds(), 10))
}

// handleError answers requests that no route takes.
func (e *Entry) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var routing *echo.HTTPError
	if errors.As(err, &routing) {
		e.writeRoutingError(c, routing.Code)
		return
	}
	e.logger().Error().Err(err).Msg("Handler failed")
	e.writeRoutingError(c, http.StatusInternalServerError)
}

func (e *Entry) writeRoutingError(c echo.Context, status int) {
	r := newRefusal(outcome.BadRequest, http.StatusText(status))
	header := c.Response().Header()
	header.Set(headerOutcome, string(r.Outcome))
	header.Set(headerReason, string(r.Reason))
	_ = c.JSON(status, newErrorBody(r, ""))
}
