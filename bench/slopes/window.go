package slopes

import (
	"context"
	"time"

	"github.com/cornelyard/cornelyard/internal/standin"
	"github.com/cornelyard/cornelyard/internal/testbed"
)

const (
	// packetOverhead is the size in bytes of the IPv4 header and the TCP header with
	// timestamps.
	packetOverhead = 52
	megabyte       = 1 << 20
)

// usage is the resource usage of one process in a window.
type usage struct {
	cpuMsPerSecond float64
	memory         float64
	resident       float64
	// rates holds the growth of the counters per second, last their final values.
	rates map[string]float64
	last  map[string]float64
}

// observe returns the resource usage of each host in a window that starts now.
func observe(ctx context.Context, window time.Duration, hosts ...*testbed.Host) ([]usage, error) {
	before, err := takeSamples(hosts)
	if err != nil {
		return nil, err
	}
	if err := standin.Sleep(ctx, window); err != nil {
		return nil, err
	}
	after, err := takeSamples(hosts)
	if err != nil {
		return nil, err
	}
	uses := make([]usage, len(hosts))
	for i := range hosts {
		uses[i] = usageBetween(before[i], after[i])
	}
	return uses, nil
}

func takeSamples(hosts []*testbed.Host) ([]sample, error) {
	samples := make([]sample, len(hosts))
	for i, h := range hosts {
		s, err := takeSample(h)
		if err != nil {
			return nil, err
		}
		samples[i] = s
	}
	return samples, nil
}

func usageBetween(before, after sample) usage {
	seconds := after.at.Sub(before.at).Seconds()
	u := usage{
		cpuMsPerSecond: float64((after.cpuTime - before.cpuTime).Microseconds()) / 1000 / seconds,
		memory:         after.anonymousBytes,
		resident:       after.resident,
		rates:          make(map[string]float64),
		last:           after.counters,
	}
	for name, value := range after.counters {
		u.rates[name] = (value - before.counters[name]) / seconds
	}
	return u
}

// meanUsage returns the mean over the processes.
func meanUsage(uses []usage) usage {
	m := usage{rates: make(map[string]float64), last: make(map[string]float64)}
	n := float64(len(uses))
	for _, u := range uses {
		m.cpuMsPerSecond += u.cpuMsPerSecond / n
		m.memory += u.memory / n
		m.resident += u.resident / n
		for name, rate := range u.rates {
			m.rates[name] += rate / n
		}
		for name, value := range u.last {
			m.last[name] += value / n
		}
	}
	return m
}

// wireBytes returns the estimated bytes per second sent to peers on the network. It counts
// one packet, with its headers, for each write.
func (u usage) wireBytes() float64 {
	return u.rates["cornelyard_peer_wire_bytes_sent"] + packetOverhead*u.rates["cornelyard_peer_wire_writes"]
}

// figures returns the usage as figures whose names start with the role of the process.
func (u usage) figures(role string) []Figure {
	return []Figure{
		{Name: role + " processor", Unit: "ms/s", Value: u.cpuMsPerSecond},
		{Name: role + " memory", Unit: "MB", Value: u.memory / megabyte},
		{Name: role + " resident", Unit: "MB", Value: u.resident / megabyte},
		{Name: role + " peer bytes sent", Unit: "B/s", Value: u.wireBytes()},
		{Name: role + " peer frames sent", Unit: "1/s", Value: u.rates["cornelyard_peer_frames_sent"]},
	}
}
