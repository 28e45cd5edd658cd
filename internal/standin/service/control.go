package service

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/cornelyard/cornelyard/internal/standin"
)

// ControlHandler returns the handler of the control listener.
func (s *Service) ControlHandler() http.Handler {
	router := standin.NewRouter()
	router.POST("/faults", s.postFaults)
	router.GET("/record", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Record()) })
	return router
}

func (s *Service) postFaults(c echo.Context) error {
	var faults Faults
	if err := c.Bind(&faults); err != nil {
		return err
	}
	s.SetFaults(faults)
	return c.NoContent(http.StatusNoContent)
}
