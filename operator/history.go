package operator

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/cornelyard/cornelyard/operator/api"
	"github.com/cornelyard/cornelyard/settings"
)

const (
	defaultHistoryLimit = 20
	maxHistoryLimit     = 1000
)

// history returns the changes after a version, or the newest ones.
func (o *Operator) history(c echo.Context, principal settings.Principal) error {
	limit, err := numberParam(c, api.ParamLimit, defaultHistoryLimit)
	if err != nil {
		return err
	}
	limit = min(limit, maxHistoryLimit)
	head, err := o.options.Store.Head(c.Request().Context())
	if err != nil {
		return err
	}
	after, err := numberParam(c, api.ParamAfter, head-min(limit, head))
	if err != nil {
		return err
	}
	records, err := o.options.Store.History(c.Request().Context(), after, int(limit))
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, api.History{Head: head, Records: visibleRecords(principal, records)})
}
