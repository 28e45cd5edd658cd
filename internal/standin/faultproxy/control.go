package faultproxy

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/cornelyard/cornelyard/internal/standin"
)

// sourceParam restricts a control request to one source.
const sourceParam = "source"

// ControlHandler returns the handler of the control listener.
func (p *Proxy) ControlHandler() http.Handler {
	router := standin.NewRouter()
	router.GET("/links", p.getLinks)
	router.POST("/links", p.postLink)
	router.POST("/links/:name/faults", p.postFaults)
	router.POST("/links/:name/reset", p.postReset)
	router.POST("/sources", standin.Apply(p.RegisterSource))
	return router
}

func (p *Proxy) getLinks(c echo.Context) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.JSON(http.StatusOK, p.links)
}

func (p *Proxy) postLink(c echo.Context) error {
	var options LinkOptions
	if err := c.Bind(&options); err != nil {
		return err
	}
	link, err := p.AddLink(options)
	if err != nil {
		return echo.NewHTTPError(http.StatusConflict, err.Error())
	}
	return c.JSON(http.StatusOK, link)
}

func (p *Proxy) postFaults(c echo.Context) error {
	link := p.Link(c.Param("name"))
	if link == nil {
		return echo.ErrNotFound
	}
	var faults Faults
	if err := c.Bind(&faults); err != nil {
		return err
	}
	if source := c.QueryParam(sourceParam); source != "" {
		link.SetSourceFaults(source, faults)
		return c.NoContent(http.StatusNoContent)
	}
	if err := link.SetFaults(faults); err != nil {
		return echo.NewHTTPError(http.StatusConflict, err.Error())
	}
	return c.NoContent(http.StatusNoContent)
}

func (p *Proxy) postReset(c echo.Context) error {
	link := p.Link(c.Param("name"))
	if link == nil {
		return echo.ErrNotFound
	}
	if source := c.QueryParam(sourceParam); source != "" {
		link.ResetSource(source)
	} else {
		link.Reset()
	}
	return c.NoContent(http.StatusNoContent)
}
