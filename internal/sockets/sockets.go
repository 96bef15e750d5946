// Package sockets provides operations on open TCP connections that the standard
// library lacks.
package sockets

import (
	"errors"
	"net"
	"syscall"
)

// Reusable reports whether a pooled connection can be used again: it is open and has
// no unread data. It does not block.
func Reusable(raw syscall.RawConn) bool {
	reusable := true
	// RawConn.Read is not usable here: it fails once the read deadline of the
	// last exchange has passed.
	err := raw.Control(func(fd uintptr) {
		var buf [1]byte
		n, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reusable = n < 0 && (errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR))
	})
	return reusable && err == nil
}

// State is what a look at a connection shows.
type State uint8

// States of a connection.
const (
	Quiet    State = iota // open, without unread data
	Readable              // data has arrived that was not read
	Closed                // the peer has closed its side, or the connection has failed
)

// Peek looks at a connection without blocking and without reading from it. A peer that
// has closed its side after sending data is Readable until the data is read.
func Peek(raw syscall.RawConn) State {
	state := Quiet
	err := raw.Control(func(fd uintptr) {
		var buf [1]byte
		n, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case n > 0:
			state = Readable
		case errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR):
		default:
			state = Closed
		}
	})
	if err != nil {
		return Closed
	}
	return state
}

// Reset closes a connection and discards data that the peer has not acknowledged.
// Otherwise the data could still reach the peer after a network partition, although
// the sender already treats the request as failed.
func Reset(c net.Conn) error {
	if tcp, ok := c.(*net.TCPConn); ok {
		if err := tcp.SetLinger(0); err != nil {
			return errors.Join(err, c.Close())
		}
	}
	return c.Close()
}
