// Package sockets has what a pool needs to know of an open TCP connection and
// the standard library does not tell.
package sockets

import (
	"errors"
	"net"
	"syscall"
)

// Reusable reports whether a connection is open and nothing has arrived on it, so
// that it can be used again. It does not wait.
func Reusable(raw syscall.RawConn) bool {
	silent := true
	// RawConn.Read would fail by itself once the last exchange's deadline has
	// passed.
	err := raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = n < 0 && (errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR))
	})
	return silent && err == nil
}

// Reset closes a connection and discards bytes that are still on their way.
// After a partition they would reach the other side although the sender has
// given up on them.
func Reset(c net.Conn) error {
	if tcp, ok := c.(*net.TCPConn); ok {
		if err := tcp.SetLinger(0); err != nil {
			return errors.Join(err, c.Close())
		}
	}
	return c.Close()
}
