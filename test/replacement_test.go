package test

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/internal/chatclient"
	"github.com/cornelyard/cornelyard/internal/testbed"
)

func replacementSpec() testbed.Spec {
	spec := baseSpec()
	spec.Hosts = append(hosts("west", 3), hosts("east", 2)...)
	spec.Targets = []testbed.TargetSpec{
		testbed.EngineSpec("west-e1", model, "west", 8, "--decode-gap=5ms"),
		testbed.EngineSpec("east-e1", model, "east", 8, "--decode-gap=5ms"),
	}
	return spec
}

// Hosts are killed and restarted, one after another. Only calls through a killed
// host may fail.
func TestSequentialHostReplacement(t *testing.T) {
	cluster := startCluster(t, replacementSpec())
	generator := startLoad(t, cluster, 20, nil)
	generator.waitForCalls(t, 40)
	for _, host := range cluster.Hosts {
		if err := host.Kill(); err != nil {
			t.Fatal(err)
		}
		generator.setExcluded(host.ID(), true)
		generator.waitForCalls(t, 40)
		restartHost(t, generator, host)
		generator.waitForCalls(t, 40)
	}
	generator.stopAndWait()
	for _, r := range generator.results {
		if !r.succeeded() && r.err == nil {
			t.Errorf("a call failed although its host was not killed: %v", r)
		}
	}
	checkNoDuplicateDispatch(t, cluster, "west-e1", "east-e1")
}

func TestDataCentreLosesAllHosts(t *testing.T) {
	cluster := startCluster(t, replacementSpec())
	generator := startLoad(t, cluster, 20, nil)
	generator.waitForCalls(t, 40)
	for _, host := range cluster.Hosts {
		if host.Settings.DataCentre != "west" {
			continue
		}
		if err := host.Kill(); err != nil {
			t.Fatal(err)
		}
		generator.setExcluded(host.ID(), true)
	}
	generator.waitForCalls(t, 60)
	for _, host := range cluster.Hosts {
		if host.Settings.DataCentre == "west" {
			restartHost(t, generator, host)
		}
	}
	generator.waitForCalls(t, 100)
	generator.stopAndWait()
	checkNoDuplicateDispatch(t, cluster, "west-e1", "east-e1")
	ctx := testContext(t)
	for _, host := range cluster.Hosts {
		call := chatclient.Call{Model: model, Prompt: "after the loss through " + host.Name, MaxTokens: 5}
		response, err := host.CallerClient(callerToken).Complete(ctx, call)
		checkResponse(t, call, response, err)
	}
}

// Each listener of a host gets many connections with random, malformed or
// oversized input. The host must keep running and serve all valid calls.
func TestBadInputOnListenersDoesNotAffectCallers(t *testing.T) {
	const connections = 100
	cluster := startCluster(t, replacementSpec())
	generator := startLoad(t, cluster, 10, nil)
	random := rand.New(rand.NewPCG(1, 2))
	garbage := make([]byte, 1<<16)
	for i := range garbage {
		garbage[i] = byte(random.UintN(256))
	}
	inputs := [][]byte{
		nil,
		garbage,
		[]byte("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999\r\n\r\n"),
		append([]byte("GET / HTTP/1.1\r\nX: "), bytes.Repeat([]byte("a"), 1<<20)...),
		{0x16, 0x03, 0x01, 0xff, 0xff, 0x01},
	}
	host := cluster.Hosts[0]
	for _, address := range []string{host.Settings.CallerAddress, host.Settings.PeerAddress, host.Settings.OperatorAddress} {
		var connected []net.Conn
		for n := range connections {
			conn, err := net.DialTimeout("tcp", address, testTimeout)
			if err != nil {
				t.Fatal(err)
			}
			connected = append(connected, conn)
			_ = conn.SetDeadline(time.Now().Add(testTimeout))
			_, _ = io.Copy(conn, bytes.NewReader(inputs[n%len(inputs)]))
		}
		generator.waitForCalls(t, 60)
		for _, conn := range connected {
			_ = conn.Close()
		}
	}
	if !host.Running() {
		t.Error("the host exited")
	}
	checkAllSucceeded(t, generator)
}
