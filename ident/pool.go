package ident

// Pool names the targets that serve one model, or one plain service, over all data centres. Each data centre schedules its part by itself.
type Pool string
