package engine

import "time"

type loadSample struct {
	at      time.Time
	running int
	waiting int
}
