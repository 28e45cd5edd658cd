package route

import "github.com/cornelyard/cornelyard/ident"

// Pool describes the targets of one service.
type Pool struct {
	Name ident.Pool
	// MaxConnections is the number of connections that one target accepts from all
	// hosts together; zero means no limit.
	MaxConnections int
	// Engine is set if the targets are model engines.
	Engine *Engine
}
