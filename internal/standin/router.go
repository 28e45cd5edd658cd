package standin

import "github.com/labstack/echo/v4"

// NewRouter returns an empty router. It lets panics through, so that
// CutConnection works.
func NewRouter() *echo.Echo {
	router := echo.New()
	router.HideBanner = true
	router.HidePort = true
	return router
}
