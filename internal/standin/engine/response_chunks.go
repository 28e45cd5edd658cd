package engine

import (
	"strings"
)

func (w *responseWriter) chunk(stream bool, choices ...choice) chunk {
	return chunk{
		ID:      w.chunkID(),
		Object:  w.run.kind.object(stream),
		Created: w.run.created.Unix(),
		Model:   w.run.request.Model,
		Choices: choices,
	}
}

func (w *responseWriter) tokenChunk(offset int) chunk {
	text := token(w.run.digest, offset)
	if w.run.kind == completionKind {
		return w.chunk(true, choice{Text: &text})
	}
	delta := &choiceMessage{Content: text}
	if offset == 1 {
		delta.Role = "assistant"
	}
	return w.chunk(true, choice{Delta: delta})
}

func (w *responseWriter) finishChunk() chunk {
	reason := w.run.finishReason()
	if w.run.kind == completionKind {
		return w.chunk(true, choice{Text: new(string), FinishReason: &reason})
	}
	return w.chunk(true, choice{Delta: &choiceMessage{}, FinishReason: &reason})
}

func (w *responseWriter) usageChunk() chunk {
	c := w.chunk(true)
	c.Choices = []choice{}
	c.Usage = w.engine.usage(w.run)
	return c
}

func (w *responseWriter) completeChunk(tokens int) chunk {
	var text strings.Builder
	for offset := 1; offset <= tokens; offset++ {
		text.WriteString(token(w.run.digest, offset))
	}
	reason := w.run.finishReason()
	content := text.String()
	complete := choice{FinishReason: &reason}
	if w.run.kind == completionKind {
		complete.Text = &content
	} else {
		complete.Message = &choiceMessage{Role: "assistant", Content: content}
	}
	c := w.chunk(false, complete)
	c.Usage = w.engine.usage(w.run)
	return c
}
