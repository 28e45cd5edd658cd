package engine

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/cornelyard/cornelyard/internal/standin"
)

// ControlHandler returns the handler of the control listener.
func (e *Engine) ControlHandler() http.Handler {
	router := standin.NewRouter()
	router.POST("/faults", e.postFaults)
	router.GET("/record", func(c echo.Context) error { return c.JSON(http.StatusOK, e.Record()) })
	return router
}

func (e *Engine) postFaults(c echo.Context) error {
	var faults Faults
	if err := c.Bind(&faults); err != nil {
		return err
	}
	e.SetFaults(faults)
	return c.NoContent(http.StatusNoContent)
}
