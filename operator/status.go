package operator

import (
	"cmp"
	"net/http"
	"slices"

	"github.com/labstack/echo/v4"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/membership"
	"github.com/cornelyard/cornelyard/operator/api"
	"github.com/cornelyard/cornelyard/pool"
	"github.com/cornelyard/cornelyard/settings"
)

func (o *Operator) status(c echo.Context, _ settings.Principal) error {
	replies := queryAllHosts(c.Request().Context(), o, methodStatus, func(ident.Host) statusQuery { return statusQuery{} }, o.localStatus)
	status := api.Status{Unreachable: replies.unreachable}
	for _, a := range replies.replies {
		status.Hosts = append(status.Hosts, a.reply)
	}
	return c.JSON(http.StatusOK, status)
}

func (o *Operator) localStatus(statusQuery) api.HostStatus {
	view := o.options.Members.View()
	status := api.HostStatus{
		Host:            view.Self.Host,
		DataCentre:      view.Self.DataCentre,
		Incarnation:     view.Self.Incarnation,
		Leaving:         view.Self.Leaving,
		SettingsVersion: o.options.Settings.Version(),
		Pools:           o.options.Pools.Statuses(),
	}
	slices.SortFunc(status.Pools, func(a, b pool.Status) int { return cmp.Compare(a.Pool, b.Pool) })
	if err := o.options.Ready(); err != nil {
		status.NotReady = err.Error()
	}
	for _, member := range view.Members {
		if member.State == membership.Alive {
			status.Alive++
			continue
		}
		status.NotAlive = append(status.NotAlive, member)
	}
	return status
}
