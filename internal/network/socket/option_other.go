//go:build !linux

package socket

import "syscall"

// MaxDescriptors returns 0, since the limit is not known.
func MaxDescriptors() int { return 0 }

// setRawUserTimeout does nothing on systems without TCP_USER_TIMEOUT; TCP keep-alive still applies.
func setRawUserTimeout(syscall.RawConn) error { return nil }
