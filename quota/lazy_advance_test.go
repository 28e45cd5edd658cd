package quota

import (
	"math"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// An account is moved only when it is used. Guards against losing or adding assumed usage of a
// team without requests or reports while a source falls silent and returns.
func TestAssumedUsageDoesNotDependOnWhenTheAccountIsUsed(t *testing.T) {
	const step = 10 * time.Millisecond
	acme, other := team(1000, 1000), team(1000, 1000)
	other.Name = "other"
	used := func(each bool) float64 {
		l := newLimiter()
		l.SetPeers(start, []ident.Host{"b", "c"}, nil)
		l.Admit(start, acme, 1)
		for at := time.Duration(0); at < 5*time.Second; at += step {
			l.MergeHost(after(at), "c", 1, nil)
			if at < time.Second || at > 3*time.Second {
				l.MergeHost(after(at), "b", 1, map[ident.Team]Usage{"other": {}})
			}
			if each {
				l.Admit(after(at), acme, 0)
			}
			l.Admit(after(at), other, 0)
		}
		return l.Admit(after(5*time.Second), acme, 0).Used
	}
	want, got := used(true), used(false)
	// A source is assumed to use a third of the limit. The start and the end of its silence may
	// each be found a step later.
	bound := 2 * step.Seconds() / limits.Window.Seconds() * platformLimit(1000, 1000) / 3
	if want < 100 || math.Abs(got-want) > bound {
		t.Errorf("%.1f counted if the account is used at each step, %.1f otherwise; they may differ by %.1f", want, got, bound)
	}
}
