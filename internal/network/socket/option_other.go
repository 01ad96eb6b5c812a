//go:build !linux

package socket

import "syscall"

// setRawUserTimeout does nothing on systems without TCP_USER_TIMEOUT; TCP keep-alive still applies.
func setRawUserTimeout(syscall.RawConn) error { return nil }
