package peer

import (
	"bufio"
	"crypto/tls"
	"testing"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/proto/peerpb"
)

// RawPeer is a peer with a valid key that writes arbitrary bytes to its frame stream.
type RawPeer struct {
	Stream *yamux.Stream
	Reader *bufio.Reader
}

// DialRawPeer opens a session under the given name, which must sort after the
// listener's name, so that the listener decides whether to keep the session.
func DialRawPeer(t *testing.T, address string, key Key, name ident.Host) *RawPeer {
	t.Helper()
	credentials, err := newCredentials([]Key{key})
	if err != nil {
		t.Fatal(err)
	}
	conn, err := tls.Dial("tcp", address, credentials.tlsConfig())
	if err != nil {
		t.Fatal(err)
	}
	mux, err := yamux.Client(conn, muxConfig())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = mux.Close() })
	stream, err := mux.OpenStream()
	if err != nil {
		t.Fatal(err)
	}
	p := &RawPeer{Stream: stream, Reader: bufio.NewReader(stream)}
	self := &peerpb.Member{Host: string(name), DataCentre: "dc1", Incarnation: uint64(time.Now().UnixNano())}
	if err := writeMessage(stream, &peerpb.Hello{Self: self}); err != nil {
		t.Fatal(err)
	}
	if err := readMessage(p.Reader, maxHandshakeMessageBytes, &peerpb.Hello{}); err != nil {
		t.Fatal(err)
	}
	if err := readMessage(p.Reader, maxHandshakeMessageBytes, &peerpb.Welcome{}); err != nil {
		t.Fatal(err)
	}
	return p
}
