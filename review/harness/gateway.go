package harness

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/cornelyard/cornelyard/platform/platformtest"
)

// Gateway is one host: a process of the deploy file with a settings file.
type Gateway struct {
	Name    string
	Caller  string
	Ready   string
	Front   *StoreFront
	command *exec.Cmd
	done    chan struct{}
	path    string
	log     string
	binary  string
}

// Bounds are those of the small deployments' sheets.
const settingsText = `{
  "host": %q, "dataCentre": %q,
  "callerAddress": %q, "readinessAddress": %q, "peerAddress": %q, "metricsAddress": %q,
  "storeAddress": %q, "memoryMB": 134, "linkMbps": 1000,
  "contracts": ["base","drain","config","cost","retry","recover","engine","stream","tenants","quota","platform"],
  "stopTime": "8s", "drainTime": "2000ms", "contactTime": "3000ms",
  "quota": {"window": "8s", "overage": 0.1, "allowance": 110000},
  "retryBudget": {"ratio": 0.2, "allowance": 52, "window": "10s"}
}`

// NewGateway writes the settings of a host as the template of the deploy file makes them.
func NewGateway(dir, name, zone string, store *platformtest.Store) (*Gateway, error) {
	g := &Gateway{Name: name, Front: NewStoreFront(store), binary: filepath.Join("target", "cornelyard-gateway")}
	addresses := make([]string, 4)
	for i := range addresses {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		addresses[i] = address
	}
	g.Caller, g.Ready = addresses[0], addresses[1]
	g.path, g.log = filepath.Join(dir, name+".json"), filepath.Join(dir, name+".log")
	text := fmt.Sprintf(settingsText, name, zone, addresses[0], addresses[1], addresses[2], addresses[3], g.Front.Address())
	return g, os.WriteFile(g.path, []byte(text), 0o600)
}

func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// Start starts the process and waits until it is ready.
func (g *Gateway) Start() error {
	log, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	g.command = exec.Command(g.binary) //nolint:gosec // The program of the deploy file.
	g.command.Env = append(os.Environ(), "CORNELYARD_NODE_FILE="+g.path)
	g.command.Stdout, g.command.Stderr = log, log
	g.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.command.Start(); err != nil {
		return err
	}
	g.done = make(chan struct{})
	command, done := g.command, g.done
	go func() {
		_ = command.Wait()
		close(done)
	}()
	return g.awaitReady()
}

func (g *Gateway) awaitReady() error {
	for range 200 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		ready := platformtest.Ready(ctx, g.Ready)
		cancel()
		if ready {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New("the host " + g.Name + " did not become ready")
}

// Signal sends a signal to the process.
func (g *Gateway) Signal(s syscall.Signal) error { return g.command.Process.Signal(s) }

// Done is closed once the process has ended.
func (g *Gateway) Done() <-chan struct{} { return g.done }

// Stop ends the process.
func (g *Gateway) Stop() {
	if g.command != nil && g.command.Process != nil {
		_ = g.command.Process.Kill()
		<-g.done
	}
	g.Front.Close()
}

// Owns reports whether the process has the socket with the local address. It reads /proc of a
// process that this harness started.
func (g *Gateway) Owns(local net.Addr) bool {
	address, ok := local.(*net.TCPAddr)
	if !ok || g.command == nil {
		return false
	}
	inodes := inodesOf(address.Port)
	if len(inodes) == 0 {
		return false
	}
	dir := fmt.Sprintf("/proc/%d/fd", g.command.Process.Pid)
	files, err := os.ReadDir(dir)
	if err != nil {
		return false
	}
	for _, f := range files {
		if link, err := os.Readlink(filepath.Join(dir, f.Name())); err == nil && inodes[link] {
			return true
		}
	}
	return false
}

// inodesOf returns the links to the TCP sockets with a local port that listen to nothing.
func inodesOf(port int) map[string]bool {
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return nil
	}
	links := make(map[string]bool)
	suffix := fmt.Sprintf(":%04X", port)
	for line := range strings.SplitSeq(string(data), "\n") {
		fields := strings.Fields(line)
		if len(fields) > 9 && strings.HasSuffix(fields[1], suffix) && fields[3] != "0A" && fields[9] != "0" {
			links["socket:["+fields[9]+"]"] = true
		}
	}
	return links
}

// Configuration returns an operator's configuration. Each entry of routes maps a path prefix to a
// type and a service.
func Configuration(version int, routes []Route, services ...Service) string {
	document := map[string]any{
		"version": version,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
		"tenants": []map[string]any{{"name": "office", "api_keys": []string{Key}}},
	}
	var routeDocuments, serviceDocuments []map[string]any
	for _, r := range routes {
		routeDocuments = append(routeDocuments, map[string]any{
			"name": strings.Trim(r.Prefix, "/"), "host": HostName, "path_prefix": r.Prefix, "type": r.Type, "service": r.Service,
			"resumable": r.Resumable, "timeout_ms": r.TimeoutMs, "target_latency_ms": r.AimMs, "gap_target_ms": 250, "max_attempts": r.MaxAttempts, "priority": 1,
		})
	}
	for _, s := range services {
		d := map[string]any{"name": s.Name, "max_connections": 360}
		if s.Engine {
			d["engine"] = map[string]any{"slots": 7, "kv_capacity": 310100, "stride": 3}
		}
		serviceDocuments = append(serviceDocuments, d)
	}
	document["routes"], document["services"] = routeDocuments, serviceDocuments
	text, err := json.Marshal(document)
	if err != nil {
		panic(err) // The document holds only values that JSON can encode.
	}
	return string(text)
}

// Names in the configuration.
const (
	HostName = "office.example"
	Key      = "k3y0office"
)

// Route is a route of the configuration.
type Route struct {
	Prefix      string
	Type        string
	Service     string
	Resumable   bool
	TimeoutMs   int
	AimMs       int
	MaxAttempts int
}

// Service is a service of the configuration.
type Service struct {
	Name   string
	Engine bool
}
