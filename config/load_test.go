package config_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/config"
	"github.com/cornelyard/cornelyard/finding"
)

const validSettings = `{
  "host": "col-1-entry-1",
  "dataCentre": "col-1",
  "callerAddress": "10.0.1.1:8080",
  "peerAddress": "0.0.0.0:8081",
  "advertisedPeerAddress": "10.0.1.1:8081",
  "operatorAddress": "10.0.1.1:8082",
  "platform": "http://10.0.0.1:7000",
  "peerKeys": ["000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"],
  "operatorTokenHashes": ["0f4ba07de9c89afb5b6dc50a3a1ef6cb8ec0c67ff1d33b2dba3b43b6a6a0f0a1"],
  "limits": {"maxRequests": 7},
  "timing": {"deadAfter": "3s"}
}`

func load(t *testing.T, text string) (*config.Host, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "host.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return config.Load(path)
}

func TestLoadFillsInDefaults(t *testing.T) {
	host, err := load(t, validSettings)
	if err != nil {
		t.Fatal(err)
	}
	if host.Limits.MaxRequests != 7 || host.Limits.MaxBodyBytes == 0 {
		t.Errorf("limits %+v", host.Limits)
	}
	if host.Timing.DeadAfter.Std() != 3*time.Second || host.Timing.Heartbeat == 0 {
		t.Errorf("timing %+v", host.Timing)
	}
}

func TestLoadReportsEveryFinding(t *testing.T) {
	cases := []struct {
		name string
		old  string
		new  string
		want []string
	}{
		{"syntax", `"col-1",`, `"col-1"`, []string{":4:3: invalid character"}},
		{"unknown field", `"limits"`, `"limit"`, []string{":11:3: limit: unknown field (allowed: host, "}},
		{"missing fields", `"host": "col-1-entry-1",`, ``, []string{":1:1: host: the field is missing"}},
		{"two at once", `"dataCentre": "col-1",`, `"dataCentre": 1, "logLevel": "loud",`, []string{
			":3:17: dataCentre: got the number 1 (allowed: a string)",
			":3:32: logLevel: unknown level \"loud\" (allowed: debug, info, warn, error)",
		}},
		{"name", `"col-1-entry-1"`, `"Col 1"`, []string{`host: the name "Col 1" is not allowed`}},
		{"host name for an address", `"10.0.1.1:8080"`, `"localhost:8080"`, []string{`:4:20: callerAddress: "localhost:8080" is not an address`}},
		{"not dialable", `"advertisedPeerAddress": "10.0.1.1:8081",`, ``, []string{"advertisedPeerAddress: other hosts cannot dial 0.0.0.0:8081"}},
		{"address twice", `"operatorAddress": "10.0.1.1:8082"`, `"operatorAddress": "10.0.1.1:8080"`, []string{"operatorAddress: the address is the callers'"}},
		{"platform", `"http://10.0.0.1:7000"`, `"10.0.0.1:7000"`, []string{"platform: "}},
		{"key", `"0001`, `"01`, []string{":9:16: peerKeys[0]: this is not a key"}},
		{"no hash", `["0f4ba07de9c89afb5b6dc50a3a1ef6cb8ec0c67ff1d33b2dba3b43b6a6a0f0a1"]`, `[]`, []string{"operatorTokenHashes: there is no hash"}},
		{"negative limit", `"maxRequests": 7`, `"maxRequests": -7`, []string{":11:29: limits.maxRequests: the limit is negative"}},
		{"duration", `"3s"`, `"3 sec"`, []string{`:12:27: timing.deadAfter: got "3 sec" (allowed: a duration such as "1.5s")`}},
		{"dead before suspected", `"3s"`, `"1s"`, []string{"timing.deadAfter: a host is dead before it is suspected"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := load(t, strings.Replace(validSettings, c.old, c.new, 1))
			var list finding.List
			if !errors.As(err, &list) {
				t.Fatalf("got %v, want findings", err)
			}
			if len(list) != len(c.want) {
				t.Fatalf("got %d findings:\n%v", len(list), list)
			}
			for i, want := range c.want {
				if !strings.Contains(list[i].String(), want) {
					t.Errorf("finding %d:\n got %s\nwant %s", i, list[i], want)
				}
			}
		})
	}
}

func TestLoadMissingFile(t *testing.T) {
	if _, err := config.Load(filepath.Join(t.TempDir(), "none.json")); !errors.Is(err, os.ErrNotExist) {
		t.Fatalf("got %v", err)
	}
}
