package operator

import (
	"io"

	"github.com/labstack/echo/v4"

	"github.com/cornelyard/cornelyard/internal/strictjson"
	"github.com/cornelyard/cornelyard/operator/api"
)

// bodyFile stands in findings for the body of a request.
const bodyFile = "request"

// readBody decodes the body and reports every fault in it.
func readBody(c echo.Context, into any) error {
	data, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return err
	}
	findings := strictjson.Decode(bodyFile, data, into)
	if len(findings) > 0 {
		return &api.Error{Code: api.BadRequest, Message: findings.Error(), Findings: findings}
	}
	return nil
}
