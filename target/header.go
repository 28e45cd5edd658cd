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

	ownHeaderPrefix = "X-Cornelyard-"
)

// connectionHeaders concern one connection only.
var connectionHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// withheldHeaders are for this system and not for targets. The idempotency keys
// would also make net/http take a request for replayable.
var withheldHeaders = []string{
	"Authorization", "Content-Length", "Expect", "Host",
	"Idempotency-Key", "X-Idempotency-Key", HeaderDispatch,
}

// outgoingHeader returns what the target may see of the caller's header.
func outgoingHeader(caller http.Header, dispatch ident.Dispatch, kind settings.PoolKind) http.Header {
	header := EndToEndHeader(caller)
	for _, name := range withheldHeaders {
		header.Del(name)
	}
	for name := range header {
		if strings.HasPrefix(name, ownHeaderPrefix) {
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
func answerHeader(answer http.Header) http.Header {
	header := EndToEndHeader(answer)
	header.Del(HeaderDispatch)
	header.Del("Content-Length")
	for name := range header {
		if strings.HasPrefix(name, ownHeaderPrefix) {
			header.Del(name)
		}
	}
	return header
}

// EndToEndHeader returns a copy without what concerns one connection only.
func EndToEndHeader(source http.Header) http.Header {
	header := source.Clone()
	if header == nil {
		header = make(http.Header)
	}
	for _, list := range source.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		header.Del(name)
	}
	return header
}
