package entry

import (
	"time"

	"github.com/labstack/echo/v4"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/settings"
)

// incomingRequest is a request that is being validated.
type incomingRequest struct {
	echo     echo.Context
	id       ident.Request
	snapshot *settings.Snapshot
	identity identity
	arrived  time.Time
	body     []byte
}
