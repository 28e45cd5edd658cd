package cli_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/cornelyard/cornelyard/internal/operatortest"
	"github.com/cornelyard/cornelyard/settings"
)

var fencedBlock = regexp.MustCompile("(?ms)^```(sh|json file=(\\S+))\n(.*?)^```$")

// walkScript turns the blocks of a page into a script: commands are run, and
// files are written.
func walkScript(page string) string {
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

// sampleChange declares what the page's first steps begin with.
func sampleChange() settings.Change {
	return settings.Change{
		Author:    "sample",
		Reason:    "sample declarations",
		Principal: settings.OperatorPrincipal(),
		Puts: []settings.Document{
			{Path: "tiers/interactive.json", Body: `{"rank": 1, "defaultDeadline": "30s"}`},
			{Path: "tiers/batch.json", Body: `{"rank": 2, "defaultDeadline": "5m"}`},
			{Path: "pools/drafting.json", Body: `{"kind": "engine", "model": "draft-1", "maxQueue": 10}`},
			{Path: "teams/bureau/team.json", Body: `{"callerTokenHashes": [], "defaultTier": "interactive"}`},
		},
	}
}

// TestOperatorsPageCanBeWalked carries out the first steps of the page.
func TestOperatorsPageCanBeWalked(t *testing.T) {
	script := walkScript(between(readPage(t, operatorsPage), "## First steps", "## Declarations"))
	const leastCommands = 10
	if strings.Count(script, "exec cornelyard") < leastCommands {
		t.Fatalf("the page has too few commands:\n%s", script)
	}
	script = strings.Replace(script, "-- step-", "grep 10m declarations/tiers/batch.json\n-- step-", 1)
	directory := t.TempDir()
	if err := os.WriteFile(filepath.Join(directory, "walk.txtar"), []byte(script), 0o600); err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{Dir: directory, Setup: func(env *testscript.Env) error {
		s := operatortest.Start(hosts)
		env.Defer(s.Close)
		env.Setenv("CORNELYARD_OPERATOR", s.Addresses()[0])
		env.Setenv("CORNELYARD_TOKEN", operatortest.OperatorToken)
		_, err := s.Hosts[0].Store.Apply(context.Background(), sampleChange())
		return err
	}})
}
