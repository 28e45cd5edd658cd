package target

import (
	"net/http"
	"strings"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/settings"
)

const (
	// HeaderDispatch carries the dispatch ID in requests and responses.
	HeaderDispatch = "X-Request-Id"
	// HeaderDraining marks a 503 response of a target that is draining and did not
	// run the request.
	HeaderDraining = "X-Target-Leaving"

	internalHeaderPrefix = "X-Cornelyard-"
)

// hopByHopHeaders apply to a single connection and are never forwarded.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// strippedHeaders are meant for this system and are not sent to targets. With an
// idempotency key net/http would also consider the request replayable.
var strippedHeaders = []string{
	"Authorization", "Content-Length", "Expect", "Host",
	"Idempotency-Key", "X-Idempotency-Key", HeaderDispatch,
}

// requestHeader returns the header that is sent to the target.
func requestHeader(caller http.Header, dispatch ident.Dispatch, kind settings.PoolKind) http.Header {
	header := EndToEndHeader(caller)
	for _, name := range strippedHeaders {
		header.Del(name)
	}
	for name := range header {
		if strings.HasPrefix(name, internalHeaderPrefix) {
			header.Del(name)
		}
	}
	if kind == settings.EnginePool {
		header.Del("Accept-Encoding")
	}
	header.Set(HeaderDispatch, string(dispatch))
	return header
}

// responseHeader returns the fields of a target's header that may be forwarded to
// the caller.
func responseHeader(received http.Header) http.Header {
	header := EndToEndHeader(received)
	header.Del(HeaderDispatch)
	header.Del("Content-Length")
	for name := range header {
		if strings.HasPrefix(name, internalHeaderPrefix) {
			header.Del(name)
		}
	}
	return header
}

// EndToEndHeader returns a copy of the header without the hop-by-hop fields.
func EndToEndHeader(received http.Header) http.Header {
	header := received.Clone()
	if header == nil {
		header = make(http.Header)
	}
	for _, list := range received.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
	return header
}
