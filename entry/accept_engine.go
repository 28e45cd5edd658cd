package entry

import (
	"fmt"
	"net/http"

	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/quarantine"
	"github.com/cornelyard/cornelyard/settings"
)

func (e *Entry) acceptChat(in *incomingRequest) (*call, *refusal) {
	return acceptGeneration(in, decodeChat)
}

func (e *Entry) acceptCompletion(in *incomingRequest) (*call, *refusal) {
	return acceptGeneration(in, decodeCompletion)
}

func acceptGeneration(in *incomingRequest, decode func([]byte) (*generationRequest, *bodyError)) (*call, *refusal) {
	g, invalid := decode(in.body)
	if invalid != nil {
		return nil, invalid.refusal()
	}
	pool, ok := in.snapshot.ModelPool(g.model)
	if !ok {
		message := fmt.Sprintf("no pool serves the model %q", g.model)
		return nil, &refusal{outcome.Refuse(outcome.UnknownPool, message, 0), "model"}
	}
	c := in.newCall(pool, settings.EnginePool)
	c.path = in.echo.Path()
	c.stream = g.stream
	c.promptTokens = g.promptTokens
	c.maxTokens = g.maxTokens
	c.prefix = g.prefix
	c.content = quarantine.NewContent(c.content.Whole, g.parts)
	c.header = http.Header{"Content-Type": {contentTypeJSON}}
	return c, in.checkIdempotency(c)
}
