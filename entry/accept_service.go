package entry

import (
	"fmt"
	"net/http"
	"net/url"
	"path"
	"slices"
	"strings"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/settings"
)

const servicesPrefix = "/services/"

func (e *Entry) acceptService(in *incomingRequest) (*call, *refusal) {
	request := in.echo.Request()
	if request.Method == http.MethodConnect || request.Method == http.MethodTrace {
		return nil, newRefusal(outcome.BadRequest, "the method is not supported")
	}
	name := ident.Pool(in.echo.Param("name"))
	pool := in.snapshot.Pools[name]
	if pool == nil || pool.Kind != settings.ServicePool {
		return nil, newRefusal(outcome.UnknownPool, fmt.Sprintf("there is no service %q", name))
	}
	c := in.newCall(name, settings.ServicePool)
	c.path = servicePath(request.URL)
	c.header = request.Header
	c.promptTokens = estimateTokens(len(in.body))
	c.nonIdempotent = isNonIdempotentPath(pool, c.path)
	return c, in.checkIdempotency(c)
}

// servicePath returns what follows the service's name, escaped as the caller
// sent it.
func servicePath(u *url.URL) string {
	rest := strings.TrimPrefix(u.EscapedPath(), servicesPrefix)
	_, rest, _ = strings.Cut(rest, "/")
	return "/" + rest
}

// isNonIdempotentPath compares the path as sent and as a service that
// normalizes paths sees it.
func isNonIdempotentPath(pool *settings.Pool, escaped string) bool {
	sent, err := url.PathUnescape(escaped)
	if err != nil {
		sent = escaped
	}
	normal := path.Clean(sent)
	return slices.ContainsFunc(pool.NonIdempotentPaths, func(prefix string) bool {
		return underPath(sent, prefix) || underPath(normal, prefix)
	})
}

// underPath reports whether p is the prefix or lies below it.
func underPath(p, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	rest, ok := strings.CutPrefix(p, prefix)
	return ok && (rest == "" || rest[0] == '/')
}
