package former

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
)

// Build is a build of a former commit.
type Build struct {
	// Commit is the full name of the commit.
	Commit string
	// Source is the directory with the commit's files, Gateway the path of the built
	// cornelyard-gateway.
	Source  string
	Gateway string
}

var (
	mu     sync.Mutex
	builds = make(map[string]*Build)
)

// Get builds a commit once per process.
func Get(commit string) (*Build, error) {
	mu.Lock()
	defer mu.Unlock()
	root, err := repositoryRoot()
	if err != nil {
		return nil, err
	}
	commit, err = resolve(root, commit)
	if err != nil {
		return nil, err
	}
	if b := builds[commit]; b != nil {
		return b, nil
	}
	b, err := build(root, commit)
	if err != nil {
		return nil, err
	}
	builds[commit] = b
	return b, nil
}

// RemoveAll deletes the builds. No program of them may run at that time or be started afterwards.
func RemoveAll() {
	mu.Lock()
	defer mu.Unlock()
	for commit, b := range builds {
		_ = os.RemoveAll(b.Source)
		delete(builds, commit)
	}
}

// build extracts a commit into a temporary directory and builds it with the build line of its
// own deploy file.
func build(root, commit string) (*Build, error) {
	dir, err := os.MkdirTemp("", "cornelyard-former-")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	b := &Build{Commit: commit, Source: dir}
	if err := b.build(root); err != nil {
		_ = os.RemoveAll(dir)
		return nil, err
	}
	return b, nil
}

func (b *Build) build(root string) error {
	archive := filepath.Join(b.Source, "former.tar")
	if _, err := git(root, "archive", "--format=tar", "--output="+archive, b.Commit); err != nil {
		return err
	}
	if _, err := output(b.Source, exec.Command("tar", "-x", "-f", archive)); err != nil {
		return err
	}
	deploy := filepath.Join(b.Source, deployFile)
	line, err := readDeployValue(deploy, "build")
	if err != nil {
		return err
	}
	program, err := readDeployValue(deploy, "run")
	if err != nil {
		return err
	}
	if _, err := output(b.Source, exec.Command("sh", "-c", line)); err != nil {
		return err
	}
	b.Gateway = filepath.Join(b.Source, program)
	return nil
}
