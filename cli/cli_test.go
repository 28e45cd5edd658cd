package cli_test

import (
	"context"
	"errors"
	"os"
	"os/exec"
	"os/signal"
	"strconv"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/cornelyard/cornelyard/cli"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/operatortest"
	standin "github.com/cornelyard/cornelyard/internal/standin/platform"
	"github.com/cornelyard/cornelyard/membership"
	"github.com/cornelyard/cornelyard/settings"
	"github.com/cornelyard/cornelyard/timeline"
	"github.com/cornelyard/cornelyard/usage"
)

const hosts = 2

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"cornelyard": runCommand})
}

func runCommand() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	environment := cli.Environment{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr, Getenv: os.Getenv}
	os.Exit(int(cli.Main(ctx, os.Args[1:], environment, cli.Commands())))
}

// systemKey is the key of a script's system in its environment values.
type systemKey struct{}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			s := operatortest.Start(hosts)
			env.Defer(s.Close)
			env.Values[systemKey{}] = s
			env.Setenv("CORNELYARD_OPERATOR", strings.Join(s.Addresses(), ","))
			env.Setenv("CORNELYARD_TOKEN", operatortest.OperatorToken)
			env.Setenv("USER", "ana")
			env.Setenv("HASH_DESK", settings.TokenHash("desk-token"))
			env.Setenv("HASH_PRESS", settings.TokenHash("press-token"))
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"exits":    checkExitStatus,
			"expand":   expandVariables,
			"platform": setPlatformFault,
			"host":     setHostFault,
			"record":   recordEvent,
			"use":      addUsage,
		},
	})
}

func system(ts *testscript.TestScript) *operatortest.Cluster {
	return ts.Value(systemKey{}).(*operatortest.Cluster)
}

// checkExitStatus runs the tool and checks its exit status: exits STATUS ARGUMENT...
func checkExitStatus(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 1 {
		ts.Fatalf("usage: exits STATUS ARGUMENT...")
	}
	err := ts.Exec("cornelyard", args[1:]...)
	status := 0
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		status = exit.ExitCode()
	} else if err != nil {
		ts.Fatalf("%v", err)
	}
	if strconv.Itoa(status) != args[0] {
		ts.Fatalf("exit status %d, want %s", status, args[0])
	}
}

// expandVariables expands environment variables in files: expand FILE...
func expandVariables(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		text := os.Expand(ts.ReadFile(name), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(name), []byte(text), 0o600))
	}
}

// setPlatformFault injects a fault: platform healthy|outage|lossy
func setPlatformFault(ts *testscript.TestScript, _ bool, args []string) {
	faults := map[string]standin.Faults{
		"healthy": {},
		"outage":  {Outage: true},
		"lossy":   {LostConfirmations: 1},
	}
	system(ts).Platform.SetFaults(faults[args[0]])
}

// setHostFault injects a fault: host NAME dead|cut|frozen
func setHostFault(ts *testscript.TestScript, _ bool, args []string) {
	name := ident.Host(args[0])
	switch args[1] {
	case "dead":
		system(ts).SetState(name, membership.Dead)
	case "cut":
		system(ts).Disconnect(name)
	case "frozen":
		system(ts).StopSettings(name)
	}
}

// recordEvent records an event: record HOST-INDEX KIND REQUEST
func recordEvent(ts *testscript.TestScript, _ bool, args []string) {
	index, err := strconv.Atoi(args[0])
	ts.Check(err)
	system(ts).Hosts[index].Timeline.Record(timeline.Event{
		Kind: timeline.Kind(args[1]), Request: ident.Request(args[2]), Team: "desk",
	})
}

// addUsage counts one served request: use HOST-INDEX TEAM
func addUsage(ts *testscript.TestScript, _ bool, args []string) {
	index, err := strconv.Atoi(args[0])
	ts.Check(err)
	system(ts).Hosts[index].Usage.Add(
		usage.Key{Team: ident.Team(args[1]), Tier: "gold", Pool: "drafting", Target: "e1"},
		usage.Counters{Queued: 1, Served: 1, ServedInTime: 1, Tokens: 40, TokenSeconds: 2},
	)
}
