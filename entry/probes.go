package entry

import (
	"net/http"

	"github.com/labstack/echo/v4"
)

// health is the liveness probe; it always succeeds.
func (e *Entry) health(c echo.Context) error {
	return c.String(http.StatusOK, "ok\n")
}

// readiness answers a load balancer's question whether to send requests to this host.
func (e *Entry) readiness(c echo.Context) error {
	if e.draining.Load() {
		return c.String(http.StatusServiceUnavailable, "draining\n")
	}
	if err := e.options.Ready(); err != nil {
		return c.String(http.StatusServiceUnavailable, err.Error()+"\n")
	}
	return c.String(http.StatusOK, "ready\n")
}
