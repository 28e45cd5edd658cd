package entry

import (
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/quarantine"
	"github.com/cornelyard/cornelyard/settings"
)

// maxKeyBytes limits the length of an idempotency key.
const maxKeyBytes = 256

func (in *incomingRequest) newCall(pool ident.Pool, kind settings.PoolKind) *call {
	request := in.echo.Request()
	return &call{
		id:       in.id,
		identity: in.identity,
		pool:     pool,
		kind:     kind,
		method:   request.Method,
		query:    request.URL.RawQuery,
		body:     in.body,
		arrived:  in.arrived,
		content:  quarantine.Content{Whole: quarantine.ContentDigest(in.identity.team, request.URL.RequestURI(), in.body)},
	}
}

// checkIdempotency reads and validates the idempotency headers. A call is
// non-idempotent if either the caller or the pool's settings say so.
func (in *incomingRequest) checkIdempotency(c *call) *refusal {
	header := in.echo.Request().Header
	switch header.Get(headerNonIdempotent) {
	case "", "false":
	case "true":
		c.nonIdempotent = true
	default:
		return newRefusal(outcome.BadRequest, headerNonIdempotent+" must be true or false")
	}
	c.idempotencyKey = header.Get(headerIdempotencyKey)
	if len(c.idempotencyKey) > maxKeyBytes {
		return newRefusal(outcome.BadRequest, "the "+headerIdempotencyKey+" is too long")
	}
	if c.nonIdempotent && c.idempotencyKey == "" {
		return newRefusal(outcome.KeyMissing, "a non-idempotent request needs an "+headerIdempotencyKey)
	}
	return nil
}
