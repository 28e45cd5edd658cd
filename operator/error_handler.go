package operator

import (
	"context"
	"errors"
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/cornelyard/cornelyard/finding"
	"github.com/cornelyard/cornelyard/operator/api"
	"github.com/cornelyard/cornelyard/settings"
	"github.com/cornelyard/cornelyard/storage"
)

// retryAfterSeconds is the Retry-After value sent while the platform is
// unavailable.
const retryAfterSeconds = "1"

func (o *Operator) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	refusal := apiErrorFor(err)
	if refusal.Code == api.Internal {
		o.options.Logger.Error().Str("path", c.Path()).Err(err).Msg("Request failed with an internal error; responding with status 500.")
	}
	if refusal.Code == api.Unavailable || refusal.Code == api.OutcomeUnknown {
		c.Response().Header().Set("Retry-After", retryAfterSeconds)
	}
	_ = c.JSON(refusal.Code.Status(), api.ErrorReply{Error: refusal})
}

// apiErrorFor maps an error to the error returned to the client.
func apiErrorFor(err error) *api.Error {
	var refusal *api.Error
	var findings finding.List
	var conflict *settings.ConflictError
	var forbidden *settings.ForbiddenError
	var base *settings.UnknownVersionError
	var unclear *settings.UnknownOutcomeError
	var http *echo.HTTPError
	switch {
	case errors.As(err, &refusal):
		return refusal
	case errors.As(err, &findings):
		return &api.Error{Code: api.Findings, Message: findings.Error(), Findings: findings}
	case errors.As(err, &conflict):
		return &api.Error{Code: api.Conflict, Message: conflict.Error(), Conflicts: conflict.Conflicts}
	case errors.As(err, &forbidden):
		return &api.Error{Code: api.Forbidden, Message: forbidden.Error()}
	case errors.As(err, &base):
		return &api.Error{Code: api.NotFound, Message: base.Error()}
	case errors.As(err, &unclear):
		return &api.Error{Code: api.OutcomeUnknown, Message: unclear.Error()}
	case errors.Is(err, storage.ErrUnavailable), errors.Is(err, context.DeadlineExceeded):
		return &api.Error{Code: api.Unavailable, Message: err.Error()}
	case errors.As(err, &http):
		return apiErrorForHTTP(http)
	default:
		return &api.Error{Code: api.Internal, Message: err.Error()}
	}
}

// apiErrorForHTTP maps an error of the router to the error returned to the client.
func apiErrorForHTTP(err *echo.HTTPError) *api.Error {
	message := strings.ToLower(http.StatusText(err.Code))
	if err.Code == http.StatusNotFound || err.Code == http.StatusMethodNotAllowed {
		return &api.Error{Code: api.NotFound, Message: message}
	}
	return &api.Error{Code: api.BadRequest, Message: message}
}
