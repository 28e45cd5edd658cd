package service

import (
	"net/http"

	"github.com/cornelyard/cornelyard/internal/standin"
)

// ControlHandler returns the handler of the control listener.
func (s *Service) ControlHandler() http.Handler {
	router := standin.NewRouter()
	router.POST("/faults", standin.Apply(s.SetFaults))
	router.GET("/record", standin.Report(s.Record))
	return router
}
