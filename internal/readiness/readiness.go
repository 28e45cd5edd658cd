// Package readiness asks whether a host is ready for calls.
package readiness

import (
	"context"
	"net/http"
)

// Check reports whether the host that serves callers on the address says that it is
// ready. A host that cannot be reached is not.
func Check(ctx context.Context, callerAddress string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+callerAddress+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
