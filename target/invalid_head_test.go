package target

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/cornelyard/cornelyard/settings"
)

// respondToCall returns the error of a call to a target that responds with a text.
func respondToCall(t *testing.T, kind settings.PoolKind, text string) error {
	t.Helper()
	address := connServer(t, func(conn *net.TCPConn, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, text)
	})
	client := NewClient(Options{MaxResumeAttempts: 1})
	defer client.Close()
	response, err := client.Do(context.Background(), Call{
		Target: settings.Target{Address: address, EchoesID: true}, Kind: kind, Dispatch: "d-1",
		Method: http.MethodPost, Path: "/x", Body: []byte("x"), Latch: new(SendLatch),
	})
	if err == nil {
		_, err = readAll(response)
	}
	return err
}

func TestHeadWithAnInvalidFieldNameIsNoResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n" + HeaderDispatch + ": d-1\r\n"
	for _, field := range []string{"X Field: 1", "Field : 1", "Content-Length : 2", "Transfer-Encoding : chunked", "X: 1\r\n Field: 1", "X: 1\r\n\tField: 1"} {
		body := "Content-Length: 14\r\n" + field + "\r\n\r\n{\"id\": \"d-1\" }"
		checkKind(t, respondToCall(t, settings.ServicePool, head+body), FailedProtocol)
		checkKind(t, respondToCall(t, settings.EnginePool, head+body), FailedProtocol)
		checkKind(t, respondToCall(t, settings.EnginePool, head+"Content-Type: text/event-stream\r\n"+field+"\r\n\r\ndata: [DONE]\n\n"), FailedProtocol)
		draining := "HTTP/1.1 503 Leaving\r\n" + HeaderDispatch + ": d-1\r\n" + HeaderDraining + ": true\r\n" + body
		checkKind(t, respondToCall(t, settings.ServicePool, draining), FailedProtocol)
	}
}

func TestTrailerWithAnInvalidFieldNameIsNoEndOfAResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n" + HeaderDispatch + ": d-1\r\nTransfer-Encoding: chunked\r\n\r\n"
	const text = head + "2\r\n{}\r\n0\r\nX Field: 1\r\n\r\n"
	checkKind(t, respondToCall(t, settings.ServicePool, text), FailedConnection)
	checkKind(t, respondToCall(t, settings.EnginePool, text), FailedConnection)
}

func TestStatusOfNoFinalResponseIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		text := "HTTP/1.1 " + status + " Odd\r\n" + HeaderDispatch + ": d-1\r\nContent-Length: 14\r\n\r\n{\"id\": \"d-1\" }"
		checkKind(t, respondToCall(t, settings.ServicePool, text), FailedProtocol)
		checkKind(t, respondToCall(t, settings.EnginePool, text), FailedProtocol)
	}
}
