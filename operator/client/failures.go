package client

import (
	"errors"
	"net"
	"strings"

	"github.com/cornelyard/cornelyard/operator/api"
)

// failureList holds the error of each host that was tried.
type failureList []error

// combined returns one error for all. Its code is api.OutcomeUnknown if a host may
// have carried out the request.
func (l failureList) combined() error {
	code := api.Unavailable
	lines := make([]string, 0, len(l))
	for _, err := range l {
		if mayHaveTakenEffect(err) {
			code = api.OutcomeUnknown
		}
		lines = append(lines, err.Error())
	}
	if len(lines) == 0 {
		lines = append(lines, "no host is given")
	}
	return &api.Error{Code: code, Message: "no host could serve the request: " + strings.Join(lines, "; ")}
}

// mayHaveTakenEffect reports whether the request may have taken effect. It has
// not if the host refused it as unavailable or could not be dialled.
func mayHaveTakenEffect(err error) bool {
	var refusal *api.Error
	if errors.As(err, &refusal) {
		return refusal.Code != api.Unavailable
	}
	var network *net.OpError
	return !errors.As(err, &network) || network.Op != "dial"
}
