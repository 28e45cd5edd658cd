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

// servicePath returns the part of the path after the service name, with the
// caller's escaping.
func servicePath(u *url.URL) string {
	rest := strings.TrimPrefix(u.EscapedPath(), servicesPrefix)
	_, rest, _ = strings.Cut(rest, "/")
	return "/" + rest
}

// isNonIdempotentPath checks the path both as decoded and in cleaned form, because
// a service that normalizes paths acts on the cleaned form.
func isNonIdempotentPath(pool *settings.Pool, escaped string) bool {
	decoded, err := url.PathUnescape(escaped)
	if err != nil {
		decoded = escaped
	}
	cleaned := path.Clean(decoded)
	return slices.ContainsFunc(pool.NonIdempotentPaths, func(prefix string) bool {
		return underPath(decoded, prefix) || underPath(cleaned, prefix)
	})
}

// underPath reports whether p equals prefix or lies below it.
func underPath(p, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	rest, ok := strings.CutPrefix(p, prefix)
	return ok && (rest == "" || rest[0] == '/')
}
