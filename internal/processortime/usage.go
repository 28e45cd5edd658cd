package processortime

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// Usage is what the threads of a process have got so far: the time on a processor, and the time for
// which they could run and waited for one. Both are zero where the system does not state them (Linux
// does).
type Usage struct {
	Running time.Duration
	Waiting time.Duration
}

// UsageOf returns the usage of the live threads of a process.
func UsageOf(pid int) Usage {
	var sum Usage
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	for _, file := range files {
		data, err := os.ReadFile(file)
		if fields := strings.Fields(string(data)); err == nil && len(fields) > 1 {
			sum.Running += nanoseconds(fields[0])
			sum.Waiting += nanoseconds(fields[1])
		}
	}
	return sum
}

// Add returns the sum of two usages.
func (u Usage) Add(other Usage) Usage {
	return Usage{u.Running + other.Running, u.Waiting + other.Waiting}
}

func (u Usage) since(before Usage) Usage {
	return Usage{max(u.Running-before.Running, 0), max(u.Waiting-before.Waiting, 0)}
}

func nanoseconds(text string) time.Duration {
	ns, _ := strconv.ParseInt(text, 10, 64)
	return time.Duration(ns)
}
