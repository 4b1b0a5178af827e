// Package socket queries the kernel for the state of a TCP connection, also while another goroutine reads
// from it: whether the peer has closed its sending side, and whether unread bytes have arrived. It also
// closes connections that unread bytes would otherwise reset. It owns no connection, blocks only in
// LingeringClose, and consumes bytes only in Read, ReadNow and LingeringClose.
package socket

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// State says what the next read of a connection would find.
type State uint8

// The states of a connection.
const (
	Silent State = iota // no bytes have arrived, or the state can't be determined
	Unread              // bytes have arrived and were not read
	Ended               // the peer has closed its sending side, or the connection is broken or closed
)

// control calls f with the connection's descriptor. supported is false if the connection has none, open is
// false if it is closed.
func control(nc net.Conn, f func(fd int)) (supported, open bool) {
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

// ReadState returns what a read would find now. It consumes nothing.
func ReadState(nc net.Conn) State {
	state := Silent
	supported, open := control(nc, func(fd int) { state = peek(fd) })
	if supported && !open {
		return Ended
	}
	return state
}

// The system calls, which tests replace.
var (
	recvfrom = syscall.Recvfrom
	poll     = unix.Poll
)

// receive reads at most len(p) bytes that have already arrived. It repeats a call that a signal interrupted.
func receive(fd int, p []byte, flags int) (int, error) {
	for {
		n, _, err := recvfrom(fd, p, flags|syscall.MSG_DONTWAIT)
		if !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
}

// Read reads bytes that have arrived from a descriptor that does not block. It returns EAGAIN if there are none, and repeats
// a call that a signal interrupted.
func Read(fd int, p []byte) (int, error) {
	for {
		n, err := syscall.Read(fd, p)
		if !errors.Is(err, syscall.EINTR) {
			return max(n, 0), err
		}
	}
}

func peek(fd int) State {
	var buf [1]byte
	n, err := receive(fd, buf[:], syscall.MSG_PEEK)
	switch {
	case errors.Is(err, syscall.EAGAIN):
		return Silent
	case err == nil && n > 0:
		return Unread
	}
	return Ended
}

// Peek copies the bytes that have arrived into p and returns their number. It consumes nothing.
func Peek(nc net.Conn, p []byte) int {
	peeked := 0
	control(nc, func(fd int) {
		if n, err := receive(fd, p, syscall.MSG_PEEK); err == nil {
			peeked = n
		}
	})
	return peeked
}

// UnreadBytes returns the number of bytes that have arrived and were not read. known is false if the kernel does not tell.
func UnreadBytes(nc net.Conn) (bytes int, known bool) {
	control(nc, func(fd int) {
		n, err := unix.IoctlGetInt(fd, unix.TIOCINQ)
		bytes = n
		known = err == nil
	})
	return bytes, known
}

// HungUp says whether the peer has closed its sending side, even if unread bytes precede that, or the
// connection is broken or closed.
func HungUp(nc net.Conn) bool {
	hungUp := false
	supported, open := control(nc, func(fd int) {
		hungUp = peerHungUp(fd)
	})
	return supported && (!open || hungUp)
}

func peerHungUp(fd int) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
	for {
		n, err := poll(fds, 0)
		switch {
		case errors.Is(err, unix.EINTR):
			continue
		case err != nil:
			return peek(fd) == Ended
		case n == 0:
			return false
		}
		return fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0 || peek(fd) == Ended
	}
}

// ReadNow reads the bytes that have already arrived into p and returns their number, 0 if there are none. It
// never blocks and ignores the deadlines of the connection.
func ReadNow(nc net.Conn, p []byte) int {
	read := 0
	control(nc, func(fd int) {
		if n, err := receive(fd, p, 0); err == nil {
			read = n
		}
	})
	return read
}

// SinceLastData returns how long ago the last bytes arrived. known is false if the kernel does not tell.
func SinceLastData(nc net.Conn) (since time.Duration, known bool) {
	control(nc, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			since = time.Duration(info.Last_data_recv) * time.Millisecond
			known = true
		}
	})
	return since, known
}

// lingerTimeout and lingerMaxBytes bound what LingeringClose reads from a peer that keeps sending.
const lingerTimeout, lingerMaxBytes = 100 * time.Millisecond, 256 << 10

// LingeringClose closes a connection on which an answer has been written. Closing a socket with unread bytes
// resets the connection, and the peer may lose the answer. If there are unread bytes, or bytes beyond the
// request were already read or may just be arriving (readAhead), it therefore closes the sending side first, then reads and discards
// until the peer closes its side, for at most 0.1 s and 256 KiB.
func LingeringClose(nc net.Conn, readAhead bool) error {
	if cw, ok := nc.(interface{ CloseWrite() error }); ok && (readAhead || ReadState(nc) == Unread) {
		if cw.CloseWrite() == nil {
			nc.SetReadDeadline(time.Now().Add(lingerTimeout))
			discard(nc)
		}
	}
	return nc.Close()
}

// discardBufferBytes is the size of the buffer for what is discarded.
const discardBufferBytes = 8 << 10

// discardBuffers are the buffers for what is discarded.
var discardBuffers = sync.Pool{New: func() any { return new([discardBufferBytes]byte) }}

// discard reads and drops at most lingerMaxBytes. It uses plain reads and not splice.
func discard(nc net.Conn) {
	buf := discardBuffers.Get().(*[discardBufferBytes]byte)
	defer discardBuffers.Put(buf)
	for dropped := 0; dropped < lingerMaxBytes; {
		n, err := nc.Read(buf[:])
		if err != nil {
			return
		}
		dropped += n
	}
}
