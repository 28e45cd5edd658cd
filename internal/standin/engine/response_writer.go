package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/cornelyard/cornelyard/internal/standin"
)

// wrongID is an ID that no caller uses.
const wrongID = "another-request"

const doneEvent = "data: [DONE]\n\n"

// responseWriter writes the response of a run to one connection. Its methods abort the
// connection if the response cannot be completed.
type responseWriter struct {
	engine   *Engine
	run      *run
	faults   RequestFaults
	response *echo.Response
	ctx      context.Context
}

func (w *responseWriter) responseID(own string) string {
	if w.faults.WrongID {
		return wrongID
	}
	return own
}

func (w *responseWriter) chunkID() string {
	return w.run.kind.idPrefix() + w.responseID(w.run.id)
}

// writeComplete writes the response as one JSON document with a Content-Length.
func (w *responseWriter) writeComplete() {
	progress, ok := w.waitForEnd()
	if !ok {
		return
	}
	if progress.state == RunCancelled {
		standin.AbortConnection()
	}
	body, err := json.Marshal(w.completeChunk(progress.tokens))
	if err != nil {
		standin.AbortConnection()
	}
	w.response.Header().Set(echo.HeaderContentType, echo.MIMEApplicationJSON)
	w.response.Header().Set(echo.HeaderContentLength, strconv.Itoa(len(body)))
	w.response.WriteHeader(http.StatusOK)
	if w.faults.CutAfterTokens > 0 {
		_, _ = w.response.Write(body[:len(body)/2])
		w.response.Flush()
		standin.AbortConnection()
	}
	_, _ = w.response.Write(body)
}

// waitForEnd waits until the run ends. It reports false if the caller disconnects
// first.
func (w *responseWriter) waitForEnd() (progress, bool) {
	for {
		progress := w.engine.progress(w.run)
		if progress.ended() && !w.faults.NeverEnd {
			return progress, w.engine.frozen.Wait(w.ctx) == nil
		}
		select {
		case <-progress.changed:
		case <-w.ctx.Done():
			return progress, false
		}
	}
}

// writeStream writes the events of the tokens after the given offset and the end of
// the stream.
func (w *responseWriter) writeStream(after int) {
	w.response.Header().Set(echo.HeaderContentType, "text/event-stream")
	w.response.Header().Set(echo.HeaderCacheControl, "no-cache")
	w.response.WriteHeader(http.StatusOK)
	w.response.Flush()
	for sent := after; ; {
		progress := w.engine.progress(w.run)
		if w.engine.frozen.Wait(w.ctx) != nil {
			return
		}
		sent = w.writeTokens(sent, progress.tokens)
		if progress.ended() {
			w.finishStream(progress)
			return
		}
		select {
		case <-progress.changed:
		case <-w.ctx.Done():
			return
		}
	}
}

// writeTokens writes the events of the tokens after sent, up to last. It returns the
// offset of the last one written.
func (w *responseWriter) writeTokens(sent, last int) int {
	if sent >= last {
		return sent
	}
	for sent < last {
		sent++
		w.writeToken(sent)
		if sent == w.faults.CutAfterTokens {
			w.response.Flush()
			standin.AbortConnection()
		}
	}
	w.response.Flush()
	return sent
}

func (w *responseWriter) writeToken(offset int) {
	if offset == w.faults.SkipFrame {
		return
	}
	event := w.event(offset, w.tokenChunk(offset))
	if offset == w.faults.RepeatFrame {
		event += event
	}
	_, _ = w.response.Write([]byte(event))
}

func (w *responseWriter) finishStream(p progress) {
	if p.state == RunCancelled {
		standin.AbortConnection()
	}
	if w.faults.NeverEnd {
		<-w.ctx.Done()
		return
	}
	var end strings.Builder
	end.WriteString(w.event(p.tokens, w.finishChunk()))
	if w.run.request.includesUsage() {
		end.WriteString(w.event(p.tokens, w.usageChunk()))
	}
	end.WriteString(doneEvent)
	_, _ = w.response.Write([]byte(end.String()))
	w.response.Flush()
}

func (w *responseWriter) event(offset int, c chunk) string {
	data, err := json.Marshal(c)
	if err != nil {
		standin.AbortConnection()
	}
	return fmt.Sprintf("id: %d\ndata: %s\n\n", offset, data)
}
