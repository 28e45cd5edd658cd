package slopes

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"github.com/cornelyard/cornelyard/internal/testbed"
)

// Error is the class of all errors of this package.
var Error = errs.Class("slopes")

// sample is the cumulative resource usage of one process at a point in time.
type sample struct {
	at      time.Time
	cpuTime time.Duration
	// anonymousBytes is the resident anonymous memory, which excludes the program text;
	// resident is all resident memory in bytes.
	anonymousBytes, resident float64
	counters                 map[string]float64
}

// takeSample reads the usage of the host's process from /proc and its counters from its
// metrics endpoint.
func takeSample(h *testbed.Host) (sample, error) {
	s := sample{at: time.Now()}
	var err error
	if s.cpuTime, err = readCPUTime(h.PID()); err != nil {
		return s, err
	}
	if s.anonymousBytes, err = readStatusBytes(h.PID(), "RssAnon:"); err != nil {
		return s, err
	}
	if s.resident, err = readStatusBytes(h.PID(), "VmRSS:"); err != nil {
		return s, err
	}
	s.counters, err = scrape(h.OperatorURL() + "/metrics")
	return s, err
}

// readCPUTime returns the CPU time of all threads of the process from /proc's schedstat,
// which counts in nanoseconds.
func readCPUTime(pid int) (time.Duration, error) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil || len(files) == 0 {
		return 0, Error.New("no threads of process %d: %v", pid, err)
	}
	var total time.Duration
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return 0, Error.Wrap(err)
		}
		ran, _, _ := strings.Cut(string(data), " ")
		nanoseconds, err := strconv.ParseInt(ran, 10, 64)
		if err != nil {
			return 0, Error.Wrap(err)
		}
		total += time.Duration(nanoseconds)
	}
	return total, nil
}

// readStatusBytes reads a field of /proc/PID/status that is given in kB.
func readStatusBytes(pid int, field string) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, Error.Wrap(err)
	}
	for line := range strings.Lines(string(data)) {
		rest, ok := strings.CutPrefix(line, field)
		if !ok {
			continue
		}
		kilobytes, err := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 64)
		return kilobytes * 1024, Error.Wrap(err)
	}
	return 0, Error.New("process %d: no %s", pid, field)
}

// scrape reads the metrics in the Prometheus text format. Values of one metric are summed
// over its labels.
func scrape(url string) (map[string]float64, error) {
	response, err := http.Get(url)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	var body bytes.Buffer
	if _, err := body.ReadFrom(response.Body); err != nil {
		return nil, Error.Wrap(err)
	}
	values := make(map[string]float64)
	for line := range strings.Lines(body.String()) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		name, value, _ := strings.Cut(strings.TrimSpace(line), " ")
		if i := strings.IndexByte(name, '{'); i >= 0 {
			name, value = name[:i], line[strings.LastIndexByte(line, ' ')+1:]
		}
		parsed, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err == nil {
			values[name] += parsed
		}
	}
	return values, nil
}
