package client

import (
	"errors"
	"net"
	"strings"

	"github.com/cornelyard/cornelyard/operator/api"
)

// failureList holds why each host did not serve a request.
type failureList []error

// combined returns one error for all. Its code is api.Unclear if a host may have
// done what it was asked for.
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

// mayHaveTakenEffect reports whether the request may have had an effect.
func mayHaveTakenEffect(err error) bool {
	var refusal *api.Error
	if errors.As(err, &refusal) {
		return refusal.Code != api.Unavailable
	}
	var network *net.OpError
	return !errors.As(err, &network) || network.Op != "dial"
}
