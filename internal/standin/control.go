package standin

import (
	"net/http"

	"github.com/labstack/echo/v4"
)

// Apply returns the handler of a control request that passes its JSON body to apply and
// has no response body.
func Apply[T any](apply func(T)) echo.HandlerFunc {
	return func(c echo.Context) error {
		var body T
		if err := c.Bind(&body); err != nil {
			return err
		}
		apply(body)
		return c.NoContent(http.StatusNoContent)
	}
}

// Report returns the handler of a control request whose response is what get returns, as
// JSON.
func Report[T any](get func() T) echo.HandlerFunc {
	return func(c echo.Context) error { return c.JSON(http.StatusOK, get()) }
}
