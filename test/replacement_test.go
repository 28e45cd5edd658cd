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

// Hosts are lost without notice and replaced, one after another. Only calls
// through a lost host may be cut.
func TestHostsAreReplacedOneAfterAnother(t *testing.T) {
	cluster := startCluster(t, replacementSpec())
	l := startLoad(t, cluster, 20, nil)
	l.waitFor(t, 40)
	for _, host := range cluster.Hosts {
		if err := host.Kill(); err != nil {
			t.Fatal(err)
		}
		l.takeOut(host.HostName(), true)
		l.waitFor(t, 40)
		startAgain(t, l, host)
		l.waitFor(t, 40)
	}
	l.finish()
	for _, r := range l.results {
		if !r.whole() && r.err == nil {
			t.Errorf("a call that no lost host held was not served: %v", r)
		}
	}
	checkRunOnce(t, cluster, "west-e1", "east-e1")
}

func TestADataCentreLosesAllItsHosts(t *testing.T) {
	cluster := startCluster(t, replacementSpec())
	l := startLoad(t, cluster, 20, nil)
	l.waitFor(t, 40)
	for _, host := range cluster.Hosts {
		if host.Settings.DataCentre != "west" {
			continue
		}
		if err := host.Kill(); err != nil {
			t.Fatal(err)
		}
		l.takeOut(host.HostName(), true)
	}
	l.waitFor(t, 60)
	for _, host := range cluster.Hosts {
		if host.Settings.DataCentre == "west" {
			startAgain(t, l, host)
		}
	}
	l.waitFor(t, 100)
	l.finish()
	checkRunOnce(t, cluster, "west-e1", "east-e1")
	ctx := boundContext(t)
	for _, host := range cluster.Hosts {
		call := chatclient.Call{Model: model, Prompt: "after the loss through " + host.Name, MaxTokens: 5}
		answer, err := host.CallerClient(token).Complete(ctx, call)
		checkAnswer(t, call, answer, err)
	}
}

// Each listener gets floods of connections, garbage and endless input.
func TestBadInputOnEveryListenerHarmsNobody(t *testing.T) {
	const connections = 100
	cluster := startCluster(t, replacementSpec())
	l := startLoad(t, cluster, 10, nil)
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
		var open []net.Conn
		for n := range connections {
			conn, err := net.DialTimeout("tcp", address, bound)
			if err != nil {
				t.Fatal(err)
			}
			open = append(open, conn)
			_ = conn.SetDeadline(time.Now().Add(bound))
			_, _ = io.Copy(conn, bytes.NewReader(inputs[n%len(inputs)]))
		}
		l.waitFor(t, 60)
		for _, conn := range open {
			_ = conn.Close()
		}
	}
	if !host.Running() {
		t.Error("the host ended")
	}
	checkAllWhole(t, l)
}
