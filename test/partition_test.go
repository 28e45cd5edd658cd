package test

import (
	"context"
	"fmt"
	"testing"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/chatclient"
	"github.com/cornelyard/cornelyard/internal/standin/faultproxy"
	"github.com/cornelyard/cornelyard/internal/testbed"
)

var (
	linkCut     = faultproxy.Faults{Cut: true}
	linkHealthy = faultproxy.Faults{}
)

func partitionSpec() testbed.Spec {
	spec := baseSpec()
	spec.Proxied = true
	spec.Hosts = append(hosts("west", 3), hosts("east", 1)...)
	spec.Targets = []testbed.TargetSpec{
		testbed.EngineSpec("west-e1", model, "west", slotsPerEngine),
		testbed.EngineSpec("east-e1", model, "east", slotsPerEngine),
	}
	return spec
}

// Each host must serve requests during a partition between data centres or a
// partition from the platform, and after the partition has healed.
func TestServingContinuesDuringPartitions(t *testing.T) {
	cluster := startCluster(t, partitionSpec())
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	cases := []struct {
		name string
		set  func(f faultproxy.Faults) error
	}{
		{"between data centres", func(f faultproxy.Faults) error {
			return cluster.SetDataCentreFaults("west", "east", f)
		}},
		{"between all hosts and the platform", func(f faultproxy.Faults) error { return setPlatformLinkFaults(cluster, f) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for _, faults := range []faultproxy.Faults{linkCut, linkHealthy} {
				if err := c.set(faults); err != nil {
					t.Fatal(err)
				}
				checkEachHostServes(ctx, t, cluster, fmt.Sprintf("partition %s, active %v", c.name, faults.Cut))
			}
		})
	}
	checkNoDuplicateDispatch(t, cluster, "west-e1", "east-e1")
}

// Each host must serve requests while one entry and the pool owner are
// partitioned, and after the partition has healed.
func TestServingContinuesWhenEntryCannotReachOwner(t *testing.T) {
	cases := []struct {
		name   string
		faults faultproxy.Faults
	}{
		{"both ways", faultproxy.Faults{Cut: true}},
		{"to the owner", faultproxy.Faults{CutToTarget: true}},
		{"from the owner", faultproxy.Faults{CutToClient: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			cluster := startCluster(t, partitionSpec())
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			owner := ownerOf(cluster, "west", model).ID()
			entry := otherHost(cluster, "west", owner)
			checkEachHostServes(ctx, t, cluster, "before")
			for _, faults := range []faultproxy.Faults{c.faults, linkHealthy} {
				if err := cluster.SetPeerFaults(entry, owner, faults); err != nil {
					t.Fatal(err)
				}
				checkEachHostServes(ctx, t, cluster, fmt.Sprintf("faults %+v", faults))
			}
			checkNoDuplicateDispatch(t, cluster, "west-e1", "east-e1")
		})
	}
}

// Resets all connections to the engine several times during a stream, which must
// be resumed and complete without a second dispatch.
func TestStreamSurvivesTargetConnectionReset(t *testing.T) {
	cluster := startCluster(t, partitionSpec())
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	call := chatclient.Call{
		Model: model, Prompt: "a stream that is reset", MaxTokens: 60, Stream: true,
		OnToken: func(tokens int) {
			if tokens%20 != 10 {
				return
			}
			if err := cluster.ResetTarget("", "west-e1"); err != nil {
				t.Error(err)
			}
		},
	}
	response, err := cluster.Hosts[0].CallerClient(callerToken).Complete(ctx, call)
	checkResponse(t, call, response, err)
	checkNoDuplicateDispatch(t, cluster, "west-e1")
}

func checkEachHostServes(ctx context.Context, t *testing.T, cluster *testbed.Cluster, phase string) {
	t.Helper()
	for _, host := range cluster.Hosts {
		call := chatclient.Call{Model: model, Prompt: fmt.Sprintf("%s: %s", host.ID(), phase), MaxTokens: 5, Stream: true}
		response, err := host.CallerClient(callerToken).Complete(ctx, call)
		checkResponse(t, call, response, err)
		t.Logf("%s completed a request in %v", host.ID(), response.Total)
	}
}

func setPlatformLinkFaults(cluster *testbed.Cluster, f faultproxy.Faults) error {
	for _, host := range cluster.Hosts {
		if err := cluster.SetPlatformFaults(host.ID(), f); err != nil {
			return err
		}
	}
	return nil
}

// otherHost returns a host in the data centre other than the excluded one.
func otherHost(cluster *testbed.Cluster, dc ident.DataCentre, excluded ident.Host) ident.Host {
	for _, host := range cluster.Hosts {
		if host.Settings.DataCentre == dc && host.ID() != excluded {
			return host.ID()
		}
	}
	return ""
}
