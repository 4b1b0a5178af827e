//go:build review

package main

import (
	"net"
	"time"
)

// newLink starts a proxy to a loopback address that delays all bytes, and the end of them, by a time in each
// direction. It returns its own address.
func newLink(to string, delay time.Duration) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			client, err := ln.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", to)
			if err != nil {
				client.Close()
				continue
			}
			go delayBytes(client.(*net.TCPConn), server.(*net.TCPConn), delay)
			go delayBytes(server.(*net.TCPConn), client.(*net.TCPConn), delay)
		}
	}()
	return ln.Addr().String(), nil
}

// delayBytes passes on what arrives from one side to the other, in order, each piece after the delay.
func delayBytes(from, to *net.TCPConn, delay time.Duration) {
	type piece struct {
		at    time.Time
		bytes []byte // nil: the end
	}
	pieces := make(chan piece, 1024)
	go func() {
		for {
			buf := make([]byte, 16<<10)
			n, err := from.Read(buf)
			if n > 0 {
				pieces <- piece{time.Now(), buf[:n]}
			}
			if err != nil {
				pieces <- piece{time.Now(), nil}
				return
			}
		}
	}()
	for p := range pieces {
		time.Sleep(time.Until(p.at.Add(delay)))
		if p.bytes == nil {
			to.CloseWrite()
			return
		}
		if _, err := to.Write(p.bytes); err != nil {
			from.Close()
		}
	}
}
