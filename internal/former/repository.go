package former

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
)

// deployFile is the path of the deploy file in each commit.
const deployFile = "deploy/system.toml"

// Production returns the commit that the deploy file names as the one in service when an
// upgrade begins.
func Production() (string, error) {
	root, err := repositoryRoot()
	if err != nil {
		return "", err
	}
	return readDeployValue(filepath.Join(root, deployFile), "production")
}

func repositoryRoot() (string, error) { return git("", "rev-parse", "--show-toplevel") }

// resolve returns the full name of a commit.
func resolve(root, commit string) (string, error) {
	name, err := git(root, "rev-parse", "--verify", "--quiet", commit+"^{commit}")
	if err != nil {
		return "", Error.New("the history of %s lacks the commit %s; a shallow clone needs git fetch --unshallow: %v", root, commit, err)
	}
	return name, nil
}

// readDeployValue returns the value of a key of a deploy file. The value is a string on one line.
func readDeployValue(path, key string) (string, error) {
	data, err := os.ReadFile(filepath.Clean(path))
	if err != nil {
		return "", Error.Wrap(err)
	}
	match := regexp.MustCompile(`(?m)^` + key + ` = (".*")$`).FindSubmatch(data)
	if match == nil {
		return "", Error.New("%s has no value %q", path, key)
	}
	value, err := strconv.Unquote(string(match[1]))
	return value, Error.Wrap(err)
}

// git runs git in a directory, or in the current one if that is empty, and returns what it prints.
func git(dir string, args ...string) (string, error) {
	return output(dir, exec.Command("git", args...))
}

func output(dir string, command *exec.Cmd) (string, error) {
	var stdout, stderr bytes.Buffer
	command.Dir, command.Stdout, command.Stderr = dir, &stdout, &stderr
	if err := command.Run(); err != nil {
		return "", Error.New("%s: %v\n%s", command, err, stderr.Bytes())
	}
	return strings.TrimSpace(stdout.String()), nil
}
