package tcpend

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// waitLimit bounds each wait for an end of a call in these tests.
const waitLimit = 10 * time.Second

// bigWrite is more than the kernel takes of a write that the peer does not read.
var bigWrite = make([]byte, 16<<20)

// connect returns both ends of a connection.
func connect(t *testing.T) (*Conn, *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	conn := NewConn(dialed)
	t.Cleanup(func() { _ = conn.Close() })
	peer, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = peer.Close() })
	return conn, peer.(*net.TCPConn)
}

func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// write writes in the background and returns a channel with the error.
func write(conn net.Conn) <-chan error {
	result := make(chan error, 1)
	go func() {
		_, err := conn.Write(bigWrite)
		result <- err
	}()
	return result
}

func awaitResult(t *testing.T, what string, result <-chan error) error {
	t.Helper()
	select {
	case err := <-result:
		return err
	case <-time.After(waitLimit):
		t.Fatalf("%s did not return", what)
		return nil
	}
}

// awaitFailedWrite waits until a write has got an error.
func awaitFailedWrite(t *testing.T, conn *Conn) {
	t.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(time.Millisecond) {
		conn.writing.Lock()
		failed := conn.writeErr != nil
		conn.writing.Unlock()
		if failed {
			return
		}
	}
	t.Fatal("the write did not fail")
}

func TestResetThatAWriteGotFirstIsNoEndOfFile(t *testing.T) {
	conn, peer := connect(t)
	if _, err := io.WriteString(peer, "half"); err != nil {
		t.Fatal(err)
	}
	written := write(conn)
	reset(peer)
	awaitFailedWrite(t, conn)
	got, err := io.ReadAll(conn)
	if !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read %q with error %v, want the reset", got, err)
	}
	if err := awaitResult(t, "the write", written); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the write got %v, want the reset", err)
	}
}

func TestResetDuringAReadAndAWriteIsNoEndOfFile(t *testing.T) {
	for range 200 {
		conn, peer := connect(t)
		written := write(conn)
		read := make(chan error, 1)
		go func() {
			_, err := io.ReadAll(conn)
			read <- err
		}()
		_, _ = io.CopyN(io.Discard, peer, 64<<10)
		reset(peer)
		if err := awaitResult(t, "the read", read); err == nil {
			t.Fatal("the read saw an end of file")
		}
		_ = awaitResult(t, "the write", written)
		_ = conn.Close()
	}
}

func TestBytesBeforeTheEndOfFileOutliveAFailedWrite(t *testing.T) {
	conn, peer := connect(t)
	written := write(conn)
	if _, err := io.WriteString(peer, "whole"); err != nil {
		t.Fatal(err)
	}
	_ = peer.CloseWrite()
	// Unread bytes make this a reset, after the end of file.
	_ = peer.Close()
	awaitFailedWrite(t, conn)
	select {
	case err := <-written:
		t.Fatalf("the write returned %v before the bytes were read", err)
	case <-time.After(20 * time.Millisecond):
	}
	if got, err := io.ReadAll(conn); err != nil || string(got) != "whole" {
		t.Errorf("read %q with error %v, want all that was sent", got, err)
	}
	if err := awaitResult(t, "the write", written); err == nil {
		t.Error("the write succeeded")
	}
}

func TestEndOfFileEndsAWriteThatThePeerDoesNotRead(t *testing.T) {
	conn, peer := connect(t)
	written := write(conn)
	_ = peer.CloseWrite()
	if _, err := io.ReadAll(conn); err != nil {
		t.Errorf("read got %v, want an end of file", err)
	}
	if err := awaitResult(t, "the write", written); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the write got %v, want a timeout", err)
	}
}

func TestCloseEndsAFailedWriteWhoseConnectionIsNotRead(t *testing.T) {
	conn, peer := connect(t)
	written := write(conn)
	reset(peer)
	awaitFailedWrite(t, conn)
	_ = conn.Close()
	_ = awaitResult(t, "the write", written)
}

func TestReadDeadlineDoesNotEndAConnection(t *testing.T) {
	conn, peer := connect(t)
	_ = conn.SetReadDeadline(time.Now().Add(-time.Second))
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("read got %v, want a timeout", err)
	}
	_ = conn.SetReadDeadline(time.Time{})
	if _, err := io.WriteString(peer, "x"); err != nil {
		t.Fatal(err)
	}
	if n, err := conn.Read(make([]byte, 1)); n != 1 || err != nil {
		t.Errorf("read %d bytes with error %v, want one", n, err)
	}
	select {
	case <-conn.readEnded:
		t.Error("the connection counts as ended")
	default:
	}
}
