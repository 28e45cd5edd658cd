package target

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
)

// idleCloseServer responds to the first request of each connection and closes the
// connection after reading the second one, like a target whose idle timeout fires
// just as the next request arrives.
type idleCloseServer struct {
	listener net.Listener

	mu    sync.Mutex
	paths []string
}

func newIdleCloseServer(t *testing.T) *idleCloseServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &idleCloseServer{listener: listener}
	var serving sync.WaitGroup
	serving.Go(func() { s.accept(&serving) })
	t.Cleanup(func() {
		_ = listener.Close()
		serving.Wait()
	})
	return s
}

func (s *idleCloseServer) address() string { return s.listener.Addr().String() }

func (s *idleCloseServer) accept(serving *sync.WaitGroup) {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		serving.Go(func() { s.serve(conn) })
	}
}

func (s *idleCloseServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for i := range 2 {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		s.record(request.URL.Path)
		if i == 0 {
			_, _ = io.WriteString(conn, idleCloseResponse(request.Method))
		}
	}
}

func (s *idleCloseServer) record(path string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paths = append(s.paths, path)
}

// count returns how many requests with the path were read.
func (s *idleCloseServer) count(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, p := range s.paths {
		if p == path {
			n++
		}
	}
	return n
}

func idleCloseResponse(method string) string {
	head := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
	if method == http.MethodHead {
		return head
	}
	return head + "ok"
}
