package engine

import (
	"net/http"

	"github.com/cornelyard/cornelyard/internal/standin"
)

// ControlHandler returns the handler of the control listener.
func (e *Engine) ControlHandler() http.Handler {
	router := standin.NewRouter()
	router.POST("/faults", standin.Apply(e.SetFaults))
	router.GET("/record", standin.Report(e.Record))
	return router
}
