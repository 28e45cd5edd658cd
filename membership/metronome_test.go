package membership

import (
	"testing"
	"time"
)

const beatInterval = 500 * time.Millisecond

// simulate lets a metronome run from start and returns the strokes with their
// times. In the middle, the wall clock jumps.
func simulate(start time.Time, d, jump time.Duration) (times []time.Time, strokes []stroke) {
	m := metronome{interval: beatInterval, lastBeat: start}
	var offset time.Duration
	for now := start; now.Sub(start) < d; {
		now = now.Add(m.next(now.Add(offset)))
		if s := m.stroke(now.Add(offset), now); s != silentStroke {
			times, strokes = append(times, now), append(strokes, s)
		}
		if now.Sub(start) > d/2 {
			offset = jump
		}
	}
	return times, strokes
}

func TestHostsBeatAtTheSameMoments(t *testing.T) {
	begin := time.Unix(1000, 0)
	a, _ := simulate(begin.Add(123*time.Millisecond), 5*time.Second, 0)
	b, _ := simulate(begin.Add(399*time.Millisecond), 5*time.Second, 0)
	if len(a) < 9 || len(b) < 9 {
		t.Fatalf("only %d and %d beats in 5 s", len(a), len(b))
	}
	for i := range min(len(a), len(b)) {
		if !a[i].Equal(b[i]) {
			t.Fatalf("beat %d is at %v here and at %v there", i, a[i], b[i])
		}
	}
}

func TestNoBeatIsLeftOut(t *testing.T) {
	for _, jump := range []time.Duration{
		0, beatInterval / 2, -beatInterval / 2, beatInterval / 3, time.Hour, -time.Hour,
	} {
		t.Run(jump.String(), func(t *testing.T) {
			start := time.Unix(1000, 1)
			times, _ := simulate(start, 10*time.Second, jump)
			last := start
			for _, at := range times {
				if gap := at.Sub(last); gap > 2*beatInterval {
					t.Errorf("%v between two beats", gap)
				}
				last = at
			}
			if len(times) < 17 {
				t.Errorf("only %d beats in 10 s", len(times))
			}
		})
	}
}

func TestRemoteHostsGetEverySecondBeat(t *testing.T) {
	_, strokes := simulate(time.Unix(1000, 1), 20*time.Second, 0)
	counts := make(map[stroke]int)
	for _, s := range strokes {
		counts[s]++
	}
	if counts[beatEveryone] != 20 || counts[beatOwnDataCentre] != 20 {
		t.Errorf("strokes are %v, want 20 of each kind of beat in 20 s", counts)
	}
}
