package entry

import (
	"net"
	"testing"
	"time"
)

// TestClosedTargetIsNotReplacedByAnotherListener guards against a fixture whose closed port another process may get.
func TestClosedTargetIsNotReplacedByAnotherListener(t *testing.T) {
	closed := closedTarget(t)
	_, port, err := net.SplitHostPort(closed.Address)
	if err != nil {
		t.Fatal(err)
	}
	// If that fails, there is another listener already.
	if other, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", port)); err == nil {
		defer func() { _ = other.Close() }()
	}
	if connection, err := net.DialTimeout("tcp", closed.Address, time.Second); err == nil {
		_ = connection.Close()
		t.Error("the closed target accepts connections")
	}
}
