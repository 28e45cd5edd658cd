package platform

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/cornelyard/cornelyard/internal/standin"
	"github.com/cornelyard/cornelyard/storage"
	"github.com/cornelyard/cornelyard/storage/restapi"
)

// Handler returns the handler of the platform's services.
func (p *Platform) Handler() http.Handler {
	router := standin.NewRouter()
	router.GET(restapi.RowPath, p.read(p.getRow))
	router.GET(restapi.RowsPath, p.read(p.scanRows))
	router.POST(restapi.TransactionsPath, p.write(p.commit))
	router.GET(restapi.ObjectPath, p.read(p.getObject))
	router.PUT(restapi.ObjectPath, p.write(p.putObject))
	router.DELETE(restapi.ObjectPath, p.write(p.deleteObject))
	router.GET(restapi.HostsPath, p.read(p.getHosts))
	return router
}

func (p *Platform) read(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if !p.admit(c.Response(), c.Request(), false) {
			return nil
		}
		return next(c)
	}
}

func (p *Platform) write(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if !p.admit(c.Response(), c.Request(), true) {
			return nil
		}
		return next(c)
	}
}

func (p *Platform) getRow(c echo.Context) error {
	row, ok := p.store.row(c.QueryParam(restapi.KeyParam))
	if !ok {
		return c.NoContent(http.StatusNotFound)
	}
	return c.JSON(http.StatusOK, row)
}

func (p *Platform) scanRows(c echo.Context) error {
	limit, err := strconv.Atoi(c.QueryParam(restapi.LimitParam))
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	rows := p.store.scan(c.QueryParam(restapi.PrefixParam), c.QueryParam(restapi.AfterParam), limit)
	return c.JSON(http.StatusOK, restapi.Rows{Rows: rows})
}

func (p *Platform) commit(c echo.Context) error {
	var t storage.Transaction
	if err := c.Bind(&t); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	revision, failed := p.store.commit(t)
	if len(failed) > 0 {
		p.countConflict()
		return c.JSON(http.StatusConflict, restapi.Rows{Rows: failed})
	}
	p.applyConfirmationFaults()
	return c.JSON(http.StatusOK, restapi.CommitResult{Revision: revision})
}

func (p *Platform) getObject(c echo.Context) error {
	data, ok := p.store.object(c.QueryParam(restapi.NameParam))
	if !ok {
		return c.NoContent(http.StatusNotFound)
	}
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, data)
}

func (p *Platform) putObject(c echo.Context) error {
	data, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	p.store.putObject(c.QueryParam(restapi.NameParam), data)
	p.applyConfirmationFaults()
	return c.NoContent(http.StatusNoContent)
}

func (p *Platform) deleteObject(c echo.Context) error {
	p.store.deleteObject(c.QueryParam(restapi.NameParam))
	p.applyConfirmationFaults()
	return c.NoContent(http.StatusNoContent)
}

func (p *Platform) getHosts(c echo.Context) error {
	return c.JSON(http.StatusOK, restapi.Hosts{Hosts: p.hosts.visibleAt(time.Now())})
}
