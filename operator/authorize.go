package operator

import (
	"slices"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/cornelyard/cornelyard/operator/api"
	"github.com/cornelyard/cornelyard/settings"
)

const bearerPrefix = "Bearer "

// handler serves an authenticated request.
type handler func(c echo.Context, principal settings.Principal) error

// authorized authenticates a request by its bearer token before calling next.
func (o *Operator) authorized(next handler) echo.HandlerFunc {
	return func(c echo.Context) error {
		principal, ok := o.principal(c.Request().Header.Get(echo.HeaderAuthorization))
		if !ok {
			return &api.Error{Code: api.Unauthorized, Message: "the bearer token is missing or unknown"}
		}
		return next(c, principal)
	}
}

func (o *Operator) principal(header string) (settings.Principal, bool) {
	token, ok := strings.CutPrefix(header, bearerPrefix)
	if !ok || token == "" {
		return settings.Principal{}, false
	}
	hash := settings.TokenHash(token)
	if slices.Contains(o.options.OperatorTokenHashes, hash) {
		return settings.OperatorPrincipal(), true
	}
	snapshot := o.options.Settings.Current()
	if snapshot == nil {
		return settings.Principal{}, false
	}
	team, ok := snapshot.AdminTeam(hash)
	return settings.TeamPrincipal(team, hash), ok
}
