package cli_test

import (
	"bytes"
	"context"
	"io"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/cornelyard/cornelyard/cli"
	"github.com/cornelyard/cornelyard/outcome"
)

const operatorsPage = "../docs/OPERATORS.md"

func readPage(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// TestOperatorsPageExplainsEveryRefusal holds the table of reasons to the
// package that declares them, both ways, with their status codes.
func TestOperatorsPageExplainsEveryRefusal(t *testing.T) {
	declared := make(map[string]string)
	source := readPage(t, "../outcome/reason.go")
	for _, m := range regexp.MustCompile(`(?m)^\t\w+ Reason = "([a-z-]+)"`).FindAllStringSubmatch(source, -1) {
		declared[m[1]] = strconv.Itoa(outcome.Reason(m[1]).Status())
	}
	if len(declared) == 0 {
		t.Fatal("no reason is found in the source")
	}
	documented := make(map[string]string)
	section := between(readPage(t, operatorsPage), "## What refusals mean", "## Exit statuses")
	for _, m := range regexp.MustCompile("(?m)^\\| `([a-z-]+)` \\| (\\d+) \\| \\S").FindAllStringSubmatch(section, -1) {
		documented[m[1]] = m[2]
	}
	for reason, status := range declared {
		if documented[reason] != status {
			t.Errorf("%s has status %s, the page says %q", reason, status, documented[reason])
		}
	}
	for reason := range documented {
		if declared[reason] == "" {
			t.Errorf("the page explains %s, which does not exist", reason)
		}
	}
}

// TestOperatorsPageListsTheExitStatuses compares the table with the help text.
func TestOperatorsPageListsTheExitStatuses(t *testing.T) {
	var help bytes.Buffer
	environment := cli.Environment{Stdout: &help, Stderr: io.Discard, Getenv: func(string) string { return "" }}
	cli.Main(context.Background(), nil, environment, cli.Commands())
	shown := regexp.MustCompile(`(?m)^  (\d)  (.+)$`).FindAllStringSubmatch(between(help.String(), "Exit statuses:", "\x00"), -1)
	if len(shown) == 0 {
		t.Fatal("the help text has no exit statuses")
	}
	table := between(readPage(t, operatorsPage), "## Exit statuses of `cornelyard`", "\x00")
	for _, m := range shown {
		if !strings.Contains(table, "| "+m[1]+" | "+m[2]+" |") {
			t.Errorf("the page lacks status %s: %s", m[1], m[2])
		}
	}
	if rows := strings.Count(table, "\n| ") - 2; rows != len(shown) {
		t.Errorf("the page has %d statuses, the help text %d", rows, len(shown))
	}
}

// TestOperatorsPageNamesRealMetrics checks that the metrics to alert on exist.
func TestOperatorsPageNamesRealMetrics(t *testing.T) {
	names := readPage(t, "../metrics/names.go")
	found := regexp.MustCompile("`cornelyard_([a-z_]+)`").FindAllStringSubmatch(readPage(t, operatorsPage), -1)
	if len(found) == 0 {
		t.Fatal("the page names no metric")
	}
	for _, m := range found {
		if !strings.Contains(names, `"`+m[1]+`"`) {
			t.Errorf("there is no metric %s", m[1])
		}
	}
}

func between(text, from, to string) string {
	_, rest, _ := strings.Cut(text, from)
	part, _, _ := strings.Cut(rest, to)
	return part
}
