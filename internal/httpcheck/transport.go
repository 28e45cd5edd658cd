package httpcheck

import "net/http"

// Transport is an HTTP transport whose responses are valid. It implements http.RoundTripper.
type Transport struct {
	*http.Transport
}

var _ http.RoundTripper = Transport{}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := Head(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	response.Body = Body(response)
	return response, nil
}
