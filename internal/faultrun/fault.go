package faultrun

import (
	"math/rand/v2"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/testbed"
)

const (
	minFaultDuration = 500 * time.Millisecond
	maxFaultDuration = 3 * time.Second
)

// fault is one fault of a schedule. All candidate objects are drawn in advance; the
// kind determines which of them are affected.
type fault struct {
	kind       FaultKind
	host       *testbed.Host
	other      *testbed.Host
	target     *testbed.Target
	targetName ident.Target
	duration   time.Duration
}

// nextFault draws the next fault of a schedule.
func nextFault(random *rand.Rand, cluster *testbed.Cluster) fault {
	engines := []ident.Target{"first-e1", "first-e2", "second-e1"}
	i := random.IntN(len(cluster.Hosts))
	j := (i + 1 + random.IntN(len(cluster.Hosts)-1)) % len(cluster.Hosts)
	name := engines[random.IntN(len(engines))]
	return fault{
		kind:       faultKinds[random.IntN(len(faultKinds))],
		host:       cluster.Hosts[i],
		other:      cluster.Hosts[j],
		target:     cluster.Targets[name],
		targetName: name,
		duration:   minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration))),
	}
}
