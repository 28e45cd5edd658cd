package platform

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/cornelyard/cornelyard/internal/standin"
	"github.com/cornelyard/cornelyard/storage/restapi"
)

// ControlHandler returns the handler of the control listener.
func (p *Platform) ControlHandler() http.Handler {
	router := standin.NewRouter()
	router.POST("/faults", p.postFaults)
	router.PUT("/hosts", p.putHosts)
	router.GET("/counts", func(c echo.Context) error { return c.JSON(http.StatusOK, p.Counts()) })
	return router
}

func (p *Platform) postFaults(c echo.Context) error {
	var faults Faults
	if err := c.Bind(&faults); err != nil {
		return err
	}
	p.SetFaults(faults)
	return c.NoContent(http.StatusNoContent)
}

func (p *Platform) putHosts(c echo.Context) error {
	var hosts restapi.Hosts
	if err := c.Bind(&hosts); err != nil {
		return err
	}
	p.SetHosts(hosts.Hosts)
	return c.NoContent(http.StatusNoContent)
}
