package cli_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/cli"
	"github.com/cornelyard/cornelyard/dev"
	"github.com/cornelyard/cornelyard/operator/api"
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

// TestOperatorsPageListsRefusalReasons checks that the page's table of refusal
// reasons and status codes is the same as in package outcome.
func TestOperatorsPageListsRefusalReasons(t *testing.T) {
	declared := make(map[string]string)
	source := readPage(t, "../outcome/reason.go")
	for _, m := range regexp.MustCompile(`(?m)^\t\w+ Reason = "([a-z-]+)"`).FindAllStringSubmatch(source, -1) {
		declared[m[1]] = strconv.Itoa(outcome.Reason(m[1]).Status())
	}
	if len(declared) == 0 {
		t.Fatal("no reason is found in the source")
	}
	documented := make(map[string]string)
	section := textBetween(readPage(t, operatorsPage), "## What refusals mean", "## Exit statuses")
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
	shown := regexp.MustCompile(`(?m)^  (\d)  (.+)$`).FindAllStringSubmatch(textBetween(help.String(), "Exit statuses:", "\x00"), -1)
	if len(shown) == 0 {
		t.Fatal("the help text has no exit statuses")
	}
	table := textBetween(readPage(t, operatorsPage), "## Exit statuses of `cornelyard`", "\x00")
	for _, m := range shown {
		if !strings.Contains(table, "| "+m[1]+" | "+m[2]+" |") {
			t.Errorf("the page lacks status %s: %s", m[1], m[2])
		}
	}
	if rows := strings.Count(table, "\n| ") - 2; rows != len(shown) {
		t.Errorf("the page has %d statuses, the help text %d", rows, len(shown))
	}
}

// TestOperatorsPageMetricsExist checks that a host that has served a call exports
// all metrics that the page names.
func TestOperatorsPageMetricsExist(t *testing.T) {
	names := regexp.MustCompile("`(cornelyard_[a-z_]+)`").FindAllStringSubmatch(readPage(t, operatorsPage), -1)
	if len(names) == 0 {
		t.Fatal("the page names no metric")
	}
	sample := startSample(t)
	sendSampleCall(t, sample.callers)
	missing := ""
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		served := fetch(t, http.MethodGet, "http://"+sample.operators+api.PathMetrics, "")
		missing = ""
		for _, m := range names {
			if !strings.Contains(served, "\n"+m[1]+"{") && !strings.Contains(served, "\n"+m[1]+" ") {
				missing += " " + m[1]
			}
		}
		if missing == "" {
			return
		}
	}
	t.Errorf("a host does not serve%s", missing)
}

func sendSampleCall(t *testing.T, address string) {
	t.Helper()
	const body = `{"model": "draft-1", "max_tokens": 3, "messages": [{"role": "user", "content": "one call"}]}`
	if answer := fetch(t, http.MethodPost, "http://"+address+"/v1/chat/completions", body); !strings.Contains(answer, "choices") {
		t.Fatalf("the sample system answered %s", answer)
	}
}

// fetch makes one request with the sample's caller token.
func fetch(t *testing.T, method, target, body string) string {
	t.Helper()
	request, err := http.NewRequestWithContext(context.Background(), method, target, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+dev.CallerToken)
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func textBetween(text, from, to string) string {
	_, rest, _ := strings.Cut(text, from)
	part, _, _ := strings.Cut(rest, to)
	return part
}
