//go:build review

package main

import (
	"encoding/binary"
	"fmt"
	"net"
	"strconv"
	"syscall"

	"golang.org/x/sys/unix"
)

// sockets asks the kernel for the state of the connections to one loopback address (sock_diag(7)), as the
// platform may.
type sockets struct {
	fd   int
	port uint16
	buf  []byte
}

const (
	sockDiagByFamily = 20
	// diagRequestBytes is the size of struct inet_diag_req_v2, diagReplyBytes of struct inet_diag_msg.
	diagRequestBytes, diagReplyBytes = 56, 72
	tcpEstablished                   = 1
)

func newSockets(addr string) (*sockets, error) {
	_, text, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, err
	}
	port, err := strconv.ParseUint(text, 10, 16)
	if err != nil {
		return nil, err
	}
	fd, err := unix.Socket(unix.AF_NETLINK, unix.SOCK_RAW|unix.SOCK_CLOEXEC, unix.NETLINK_SOCK_DIAG)
	if err != nil {
		return nil, fmt.Errorf("sock_diag: %w", err)
	}
	return &sockets{fd: fd, port: uint16(port), buf: make([]byte, 64<<10)}, nil
}

func (s *sockets) close() { unix.Close(s.fd) }

// unread returns, for each established connection to the address, the bytes that the process there has not read
// yet, by the port of the other side.
func (s *sockets) unread() (map[int]int, error) {
	request := make([]byte, unix.SizeofNlMsghdr+diagRequestBytes)
	native := binary.NativeEndian
	native.PutUint32(request, uint32(len(request)))
	native.PutUint16(request[4:], sockDiagByFamily)
	native.PutUint16(request[6:], unix.NLM_F_REQUEST|unix.NLM_F_DUMP)
	body := request[unix.SizeofNlMsghdr:]
	body[0], body[1] = unix.AF_INET, unix.IPPROTO_TCP
	native.PutUint32(body[4:], 1<<tcpEstablished)
	binary.BigEndian.PutUint16(body[8:], s.port)
	if err := unix.Sendto(s.fd, request, 0, &unix.SockaddrNetlink{Family: unix.AF_NETLINK}); err != nil {
		return nil, fmt.Errorf("sock_diag: %w", err)
	}
	out := map[int]int{}
	for {
		n, _, err := unix.Recvfrom(s.fd, s.buf, 0)
		if err != nil {
			return nil, fmt.Errorf("sock_diag: %w", err)
		}
		messages, err := syscall.ParseNetlinkMessage(s.buf[:n])
		if err != nil {
			return nil, fmt.Errorf("sock_diag: %w", err)
		}
		for _, m := range messages {
			switch {
			case m.Header.Type == unix.NLMSG_DONE:
				return out, nil
			case m.Header.Type == unix.NLMSG_ERROR:
				return nil, fmt.Errorf("sock_diag: the kernel refuses it")
			case len(m.Data) < diagReplyBytes:
				continue
			}
			local, remote := binary.BigEndian.Uint16(m.Data[4:]), binary.BigEndian.Uint16(m.Data[6:])
			if local == s.port && m.Data[1] == tcpEstablished {
				out[int(remote)] = int(native.Uint32(m.Data[56:])) // idiag_rqueue
			}
		}
	}
}
