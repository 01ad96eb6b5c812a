//go:build !go1.27

package connections

import "net/http"

// allowFields does nothing, since net/http does not limit the number of header fields before Go 1.27.
func allowFields(*http.Server) {}
