//go:build !linux

package socket

import "syscall"

// setUserTimeout does nothing where the kernel has no such option; keep-alive remains.
func setUserTimeout(syscall.RawConn) error { return nil }
