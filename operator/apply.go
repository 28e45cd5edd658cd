package operator

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/cornelyard/cornelyard/operator/api"
	"github.com/cornelyard/cornelyard/settings"
)

func (o *Operator) apply(c echo.Context, principal settings.Principal) error {
	var request api.ApplyRequest
	if err := readBody(c, &request); err != nil {
		return err
	}
	change := settings.Change{
		ID:        request.ID,
		Author:    request.Author,
		Reason:    request.Reason,
		Base:      request.Base,
		Puts:      request.Puts,
		Deletes:   request.Deletes,
		Principal: principal,
	}
	apply := o.options.Store.Apply
	if request.DryRun {
		apply = o.options.Store.DryRun
	}
	result, err := apply(c.Request().Context(), change)
	if err != nil {
		return err
	}
	if result.Changed && !request.DryRun {
		o.options.Logger.Info().Uint64("version", result.Version).Str("principal", principal.String()).Str("change", request.ID).Msg("Accepted a change of the declarations.")
	}
	return c.JSON(http.StatusOK, result)
}
