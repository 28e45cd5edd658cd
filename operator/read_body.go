package operator

import (
	"io"

	"github.com/labstack/echo/v4"

	"github.com/cornelyard/cornelyard/internal/strictjson"
	"github.com/cornelyard/cornelyard/operator/api"
)

// bodyFile is the file name of the request body in findings.
const bodyFile = "request"

// readBody decodes the request body. Its error lists all findings.
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
