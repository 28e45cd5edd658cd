package entry

import (
	"net/http"
	"time"

	"github.com/cornelyard/cornelyard/admission"
	"github.com/cornelyard/cornelyard/claim"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/quarantine"
	"github.com/cornelyard/cornelyard/settings"
)

// call is one validated request. It is immutable.
type call struct {
	id       ident.Request
	identity identity

	pool   ident.Pool
	kind   settings.PoolKind
	method string
	// path is escaped and begins with a slash; query is not decoded.
	path   string
	query  string
	header http.Header
	body   []byte

	stream         bool
	nonIdempotent  bool
	idempotencyKey string

	arrived      time.Time
	promptTokens int
	maxTokens    int
	prefix       []uint64
	content      quarantine.Content
}

func (c *call) admissionRequest(host ident.Host, excluded []ident.Target) admission.Request {
	return admission.Request{
		ID:              c.id,
		Entry:           host,
		Pool:            c.pool,
		Team:            c.identity.team,
		Tier:            c.identity.tier,
		Arrived:         c.arrived,
		Deadline:        c.identity.deadline,
		PromptTokens:    c.promptTokens,
		MaxTokens:       c.maxTokens,
		Prefix:          c.prefix,
		Content:         c.content,
		NonIdempotent:   c.nonIdempotent,
		ExcludedTargets: excluded,
	}
}

func (c *call) claimRequest() claim.Request {
	return claim.Request{
		ID:     c.id,
		Team:   c.identity.team,
		Key:    c.idempotencyKey,
		Digest: claim.NewDigest(c.method, string(c.pool), c.path, c.query, c.body),
	}
}
