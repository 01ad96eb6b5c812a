//go:build go1.27

package connections

import (
	"math"
	"net/http"
)

// allowFields removes the limit of net/http on the number of header fields. Its default of 500, which is new in Go 1.27, is below what a head
// within the limit on header bytes may have.
func allowFields(s *http.Server) { s.MaxHeaderValueCount = math.MaxInt32 }
