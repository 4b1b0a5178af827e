// Package socket asks the kernel about a TCP connection beside whoever reads it: whether its peer has ended its
// sending, and whether bytes have come that nobody has read; and it closes one that such bytes would reset. It owns
// no connection, waits in LingeringClose alone, and takes bytes only where it is asked to.
package socket

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// State is what a look at a connection tells of what is to be read from it next.
type State uint8

// The states.
const (
	Silent State = iota // nothing has come; also where nobody can tell
	Unread              // bytes have come that nobody has read
	Ended               // the peer has ended its sending, or the connection is broken or closed
)

// control runs f on the descriptor. known tells whether there is one to be asked, open whether it is.
func control(nc net.Conn, f func(fd int)) (known, open bool) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false, false
	}
	raw, err := sc.SyscallConn()
	if errors.Is(err, errors.ErrUnsupported) {
		return false, false
	}
	if err != nil {
		return true, false
	}
	return true, raw.Control(func(fd uintptr) { f(int(fd)) }) == nil
}

// ReadState tells what a read would find now, and takes nothing.
func ReadState(nc net.Conn) State {
	state := Silent
	known, open := control(nc, func(fd int) { state = peek(fd) })
	if known && !open {
		return Ended
	}
	return state
}

func peek(fd int) State {
	var one [1]byte
	for {
		n, _, err := syscall.Recvfrom(fd, one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EINTR):
			continue
		case errors.Is(err, syscall.EAGAIN):
			return Silent
		case err == nil && n > 0:
			return Unread
		}
		return Ended
	}
}

// HungUp tells whether the peer has ended its sending, whatever is unread before, or the connection is broken or
// closed.
func HungUp(nc net.Conn) bool {
	gone := false
	known, open := control(nc, func(fd int) {
		look := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
		if n, err := unix.Poll(look, 0); err != nil || n == 0 {
			return
		}
		gone = look[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0 || peek(fd) == Ended
	})
	return known && (!open || gone)
}

// ReadNow reads what has come, as far as p goes, and never waits, whatever deadline is set; 0: there is nothing to
// be had.
func ReadNow(nc net.Conn, p []byte) int {
	read := 0
	control(nc, func(fd int) {
		if n, _, err := syscall.Recvfrom(fd, p, syscall.MSG_DONTWAIT); err == nil {
			read = n
		}
	})
	return read
}

// lingerTime and lingerMost bound what a lingering close still takes from a peer that goes on sending.
const lingerTime, lingerMost = 100 * time.Millisecond, 256 << 10

// LingeringClose closes a connection on which an answer has been written. A close over bytes that nobody has read
// resets it, and the answer may go with it: where there are any, or more has come than was asked for (ahead), the
// sending is ended first, and what comes is read for nobody until the peer ends its own, for 0.1 s and 256 KiB at
// the most.
func LingeringClose(nc net.Conn, ahead bool) error {
	if cw, ok := nc.(interface{ CloseWrite() error }); ok && (ahead || ReadState(nc) == Unread) && !HungUp(nc) {
		if cw.CloseWrite() == nil {
			nc.SetReadDeadline(time.Now().Add(lingerTime))
			_, _ = io.CopyN(onlyWriter{}, nc, lingerMost)
		}
	}
	return nc.Close()
}

// onlyWriter discards, and keeps io.Copy from ways to copy that need calls of their own (splice).
type onlyWriter struct{}

func (onlyWriter) Write(p []byte) (int, error) { return len(p), nil }
