package standin

import "github.com/labstack/echo/v4"

// NewRouter returns an empty router without a recovery middleware, because
// AbortConnection panics.
func NewRouter() *echo.Echo {
	router := echo.New()
	router.HideBanner = true
	router.HidePort = true
	return router
}
