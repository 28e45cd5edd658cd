package ident

// Pool identifies the targets in all data centres that serve one model or one plain service. Each data centre schedules its own targets of the pool.
type Pool string
