package platform

import (
	"net/http"

	"github.com/cornelyard/cornelyard/internal/standin"
	"github.com/cornelyard/cornelyard/storage/restapi"
)

// ControlHandler returns the handler of the control listener.
func (p *Platform) ControlHandler() http.Handler {
	router := standin.NewRouter()
	router.POST("/faults", standin.Apply(p.SetFaults))
	router.PUT("/hosts", standin.Apply(func(h restapi.Hosts) { p.SetHosts(h.Hosts) }))
	router.GET("/counts", standin.Report(p.Counts))
	return router
}
