package test

import (
	"os"
	"testing"

	// The tests build and run the daemon as a program. Importing it makes cached
	// test results depend on its code.
	_ "github.com/cornelyard/cornelyard/daemon"
	"github.com/cornelyard/cornelyard/internal/former"
	"github.com/cornelyard/cornelyard/internal/testbed"
)

func TestMain(m *testing.M) {
	status := m.Run()
	testbed.RemoveBinaries()
	former.RemoveAll()
	os.Exit(status)
}
