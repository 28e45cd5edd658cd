package operator

import (
	"errors"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"github.com/cornelyard/cornelyard/operator/api"
	"github.com/cornelyard/cornelyard/settings"
	"github.com/cornelyard/cornelyard/storage"
)

// documents returns one version of the declarations. While the platform is
// unavailable, it returns the version in force on this host, marked as stale.
func (o *Operator) documents(c echo.Context, principal settings.Principal) error {
	version, err := numberParam(c, api.ParamVersion, 0)
	if err != nil {
		return err
	}
	stale := false
	tree, found, err := o.options.Store.At(c.Request().Context(), version)
	if errors.Is(err, storage.ErrUnavailable) && version == 0 && o.options.Settings.Version() > 0 {
		tree, found = o.options.Settings.Tree()
		stale, err = true, nil
	}
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, api.Documents{
		Version:   found,
		Stale:     stale,
		Documents: visibleDocuments(principal, c.QueryParam(api.ParamPrefix), tree.Documents()),
	})
}

func numberParam(c echo.Context, name string, defaultValue uint64) (uint64, error) {
	text := c.QueryParam(name)
	if text == "" {
		return defaultValue, nil
	}
	number, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, &api.Error{Code: api.BadRequest, Message: name + " is not a number"}
	}
	return number, nil
}
