package faultproxy

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/labstack/echo/v4"

	"github.com/cornelyard/cornelyard/internal/standin"
)

// sourceParam limits a call on the control listener to one source.
const sourceParam = "source"

// Proxy is a set of links. It is safe for concurrent use.
type Proxy struct {
	ctx     context.Context
	sources sources

	mu    sync.Mutex
	links []*Link
}

// New returns a proxy whose links work until ctx ends.
func New(ctx context.Context) *Proxy {
	return &Proxy{ctx: ctx}
}

// Add opens a link.
func (p *Proxy) Add(o LinkOptions) (*Link, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.find(o.Name) != nil {
		return nil, standin.Error.New("link %q exists", o.Name)
	}
	link, err := newLink(p.ctx, o, &p.sources)
	if err != nil {
		return nil, standin.Error.Wrap(err)
	}
	p.links = append(p.links, link)
	return link, nil
}

// Link returns the link with the name, or nil.
func (p *Proxy) Link(name string) *Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.find(name)
}

func (p *Proxy) find(name string) *Link {
	for _, link := range p.links {
		if link.Name == name {
			return link
		}
	}
	return nil
}

// SetSource makes the process known by the name.
func (p *Proxy) SetSource(s Source) {
	p.sources.set(s)
}

// Serve serves the control listener until ctx ends.
func (p *Proxy) Serve(ctx context.Context, control net.Listener) error {
	return standin.Serve(ctx, standin.Endpoint{Listener: control, Handler: p.ControlHandler()})
}

// ControlHandler serves the control listener.
func (p *Proxy) ControlHandler() http.Handler {
	router := standin.NewRouter()
	router.GET("/links", p.getLinks)
	router.POST("/links", p.postLink)
	router.POST("/links/:name/faults", p.postFaults)
	router.POST("/links/:name/reset", p.postReset)
	router.POST("/sources", p.postSource)
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
	link, err := p.Add(options)
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

func (p *Proxy) postSource(c echo.Context) error {
	var source Source
	if err := c.Bind(&source); err != nil {
		return err
	}
	p.SetSource(source)
	return c.NoContent(http.StatusNoContent)
}
