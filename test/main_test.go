package test

import (
	"os"
	"testing"

	// The daemon is built and run as a program; importing it ties the cached
	// results of these tests to its code.
	_ "github.com/cornelyard/cornelyard/daemon"
	"github.com/cornelyard/cornelyard/internal/testbed"
)

func TestMain(m *testing.M) {
	status := m.Run()
	testbed.RemoveBinaries()
	os.Exit(status)
}
