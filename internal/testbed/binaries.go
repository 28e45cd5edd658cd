package testbed

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
)

const modulePath = "github.com/cornelyard/cornelyard"

// Binaries holds the paths of the programs of a cluster.
type Binaries struct {
	Daemon  string
	Gateway string
	Standin string
	dir     string
}

var build = sync.OnceValues(buildBinaries)

// Build builds the programs once per test process.
func Build() (*Binaries, error) { return build() }

// RemoveBinaries deletes the programs that Build built. No cluster may run at that
// time or be started afterwards.
func RemoveBinaries() {
	if binaries, err := build(); err == nil {
		_ = os.RemoveAll(binaries.dir)
	}
}

func buildBinaries() (*Binaries, error) {
	dir, err := os.MkdirTemp("", "cornelyard-bin-")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	args := append([]string{"build"}, raceFlags...)
	args = append(args, "-o", dir+string(filepath.Separator),
		modulePath+"/cmd/cornelyardd", modulePath+"/cmd/cornelyard-gateway", modulePath+"/internal/standin/cmd/standin")
	command := exec.Command("go", args...)
	var output bytes.Buffer
	command.Stderr = &output
	if err := command.Run(); err != nil {
		_ = os.RemoveAll(dir)
		return nil, Error.New("building the programs of the test bed: go build: %v\n%s", err, output.Bytes())
	}
	return &Binaries{
		Daemon:  filepath.Join(dir, "cornelyardd"),
		Gateway: filepath.Join(dir, "cornelyard-gateway"),
		Standin: filepath.Join(dir, "standin"),
		dir:     dir,
	}, nil
}
