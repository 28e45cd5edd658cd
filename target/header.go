package target

import (
	"net/http"
	"strings"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/settings"
)

const (
	// HeaderDispatch carries the dispatch id, in both directions.
	HeaderDispatch = "X-Request-Id"
	// HeaderLeaving marks a 503 answer of a target that refuses new work and
	// ran nothing.
	HeaderLeaving = "X-Target-Leaving"

	internalHeaderPrefix = "X-Cornelyard-"
)

// connectionHeaders concern one connection only.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// withheldHeaders are for this system and not for targets. The idempotency keys
// would also make net/http take a request for replayable.
var strippedHeaders = []string{
	"Authorization", "Content-Length", "Expect", "Host",
	"Idempotency-Key", "X-Idempotency-Key", HeaderDispatch,
}

// outgoingHeader returns what the target may see of the caller's header.
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

// answerHeader returns what the caller may see of the target's header.
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

// EndToEndHeader returns a copy without what concerns one connection only.
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
