package engine

import (
	"strings"
)

func (w *answerWriter) chunk(stream bool, choices ...choice) chunk {
	return chunk{
		ID:      w.chunkID(),
		Object:  w.run.kind.object(stream),
		Created: w.run.created.Unix(),
		Model:   w.run.request.Model,
		Choices: choices,
	}
}

func (w *answerWriter) tokenChunk(offset int) chunk {
	text := token(w.run.digest, offset)
	if w.run.kind == completionKind {
		return w.chunk(true, choice{Text: &text})
	}
	delta := &answerMessage{Content: text}
	if offset == 1 {
		delta.Role = "assistant"
	}
	return w.chunk(true, choice{Delta: delta})
}

func (w *answerWriter) finishChunk() chunk {
	reason := w.run.finishReason()
	if w.run.kind == completionKind {
		return w.chunk(true, choice{Text: new(string), FinishReason: &reason})
	}
	return w.chunk(true, choice{Delta: &answerMessage{}, FinishReason: &reason})
}

func (w *answerWriter) usageChunk() chunk {
	c := w.chunk(true)
	c.Choices = []choice{}
	c.Usage = w.engine.usage(w.run)
	return c
}

func (w *answerWriter) wholeChunk(tokens int) chunk {
	var text strings.Builder
	for offset := 1; offset <= tokens; offset++ {
		text.WriteString(token(w.run.digest, offset))
	}
	reason := w.run.finishReason()
	content := text.String()
	only := choice{FinishReason: &reason}
	if w.run.kind == completionKind {
		only.Text = &content
	} else {
		only.Message = &answerMessage{Role: "assistant", Content: content}
	}
	c := w.chunk(false, only)
	c.Usage = w.engine.usage(w.run)
	return c
}
