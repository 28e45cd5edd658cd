package cli_test

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/cornelyard/cornelyard/dev"
)

var fencedBlock = regexp.MustCompile("(?ms)^```(sh|json file=(\\S+))\n(.*?)^```$")

// scriptFromPage converts the fenced code blocks of a page to a testscript: shell
// lines become commands, and JSON blocks become files.
func scriptFromPage(page string) string {
	var commands, files strings.Builder
	for i, m := range fencedBlock.FindAllStringSubmatch(page, -1) {
		if m[1] == "sh" {
			for line := range strings.Lines(m[3]) {
				commands.WriteString("exec " + strings.ReplaceAll(line, `"`, `'`))
			}
			continue
		}
		fmt.Fprintf(&commands, "cp step-%d.json %s\n", i, m[2])
		fmt.Fprintf(&files, "-- step-%d.json --\n%s", i, m[3])
	}
	return commands.String() + files.String()
}

// sampleAddresses are the listening addresses of the sample system's first host.
type sampleAddresses struct {
	callers   string
	operators string
}

// startSample runs the sample system until the test ends. It waits until all
// hosts are ready.
func startSample(t *testing.T) sampleAddresses {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	out := &syncBuffer{}
	ended := make(chan error, 1)
	go func() { ended <- dev.Run(ctx, out, io.Discard) }()
	t.Cleanup(func() {
		stop()
		if err := <-ended; err != nil {
			t.Errorf("the sample system ended with %v", err)
		}
	})
	deadline := time.Now().Add(waitTimeout)
	for time.Now().Before(deadline) {
		if m := regexp.MustCompile(`callers http://(\S+)  operators http://(\S+)`).FindStringSubmatch(out.String()); m != nil {
			return sampleAddresses{callers: m[1], operators: m[2]}
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("the sample system does not say its addresses:\n%s", out.String())
	return sampleAddresses{}
}

// TestOperatorsPageFirstStepsRun runs the commands of the page's first steps
// against the sample system.
func TestOperatorsPageFirstStepsRun(t *testing.T) {
	page := textBetween(readPage(t, operatorsPage), "## First steps", "## Declarations")
	if !strings.Contains(page, dev.OperatorToken) {
		t.Errorf("the page does not name the sample's token, %s", dev.OperatorToken)
	}
	script := scriptFromPage(page)
	const leastCommands = 10
	if strings.Count(script, "exec cornelyard") < leastCommands {
		t.Fatalf("the page has too few commands:\n%s", script)
	}
	script = strings.Replace(script, "-- step-", "grep 10m declarations/tiers/batch.json\n-- step-", 1)
	directory := t.TempDir()
	if err := os.WriteFile(filepath.Join(directory, "walk.txtar"), []byte(script), 0o600); err != nil {
		t.Fatal(err)
	}
	address := startSample(t).operators
	testscript.Run(t, testscript.Params{Dir: directory, Setup: func(env *testscript.Env) error {
		env.Setenv("CORNELYARD_OPERATOR", address)
		env.Setenv("CORNELYARD_TOKEN", dev.OperatorToken)
		return nil
	}})
}
