package socket

import (
	"errors"
	"net"
	"net/http"
)

// Serve serves HTTP requests on l until s is shut down or closed, and returns nil in that case.
func Serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
