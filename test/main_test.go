package test

import (
	"os"
	"testing"

	"github.com/cornelyard/cornelyard/internal/testbed"
)

func TestMain(m *testing.M) {
	status := m.Run()
	testbed.Remove()
	os.Exit(status)
}
