package entry

import (
	"net/http"
	"slices"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/settings"
)

// modelList is the response body of GET /v1/models.
type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

// model is one element of a modelList.
type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

const modelOwner = "cornelyard"

func (e *Entry) listModels(c echo.Context) error {
	snapshot := e.options.Settings.Current()
	if snapshot == nil {
		return e.writeRefusal(c, "", notReady())
	}
	if _, r := callerTeam(snapshot, c.Request().Header); r != nil {
		return e.writeRefusal(c, "", wrapRefusal(r))
	}
	return c.JSON(http.StatusOK, modelList{Object: "list", Data: models(snapshot)})
}

func models(s *settings.Snapshot) []model {
	list := []model{}
	for _, pool := range s.Pools {
		if pool.Kind == settings.EnginePool {
			list = append(list, model{ID: pool.Model, Object: "model", OwnedBy: modelOwner})
		}
	}
	slices.SortFunc(list, func(a, b model) int { return strings.Compare(a.ID, b.ID) })
	return list
}

func notReady() *refusal {
	return wrapRefusal(outcome.Refuse(outcome.NotReady, "this host has no settings yet", failedRetryAfter))
}
