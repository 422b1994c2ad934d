package sidecar

import (
	"cmp"
	"errors"
	"net"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// This file queries the kernel about a connection without reading from it. Only awaitReadable blocks.

// rawConn returns the raw connection of c, if it has one.
func rawConn(c net.Conn) (syscall.RawConn, error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}

// stillOpen reports whether an idle connection can be reused: the peer has not closed it and has sent no unsolicited
// bytes.
func stillOpen(c net.Conn) bool {
	_, err := peek(c)
	return errors.Is(err, syscall.EAGAIN)
}

// peek returns 1 if there are unread bytes and 0 without an error at the end of the stream. If there is nothing to
// read, it returns EAGAIN.
func peek(c net.Conn) (n int, err error) {
	raw, err := rawConn(c)
	if err != nil {
		return 0, err
	}
	controlErr := raw.Control(func(fd uintptr) { n, err = peekFD(fd) }) // not Read, which would wait for concurrent readers
	return n, cmp.Or(controlErr, err)
}

// awaitReadable waits until there are unread bytes and returns 1, or 0 without an error at the end of the stream. The wait ends
// with an error when the connection's read deadline passes.
func awaitReadable(c net.Conn) (n int, err error) {
	raw, err := rawConn(c)
	if err != nil {
		return 0, err
	}
	waitErr := raw.Read(func(fd uintptr) (done bool) {
		n, err = peekFD(fd)
		return !errors.Is(err, syscall.EAGAIN)
	})
	return n, cmp.Or(waitErr, err)
}

// peekFD returns what peek returns for a descriptor.
func peekFD(fd uintptr) (n int, err error) {
	var buf [1]byte
	for {
		n, _, err = syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
}

// unackedBytes returns the number of written bytes that the peer's kernel has not acknowledged.
func unackedBytes(c net.Conn) (n int, err error) {
	raw, err := rawConn(c)
	if err != nil {
		return 0, err
	}
	controlErr := raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return n, cmp.Or(controlErr, err)
}

// hungUp reports whether the peer has shut down its sending side or reset the connection.
func hungUp(fd uintptr) bool {
	const pollRDHup, pollErr, pollHup = 0x2000, 0x8, 0x10
	p := struct {
		fd              int32
		events, revents int16
	}{fd: int32(fd), events: pollRDHup}
	n, _, _ := syscall.Syscall6(syscall.SYS_PPOLL, uintptr(unsafe.Pointer(&p)), 1, uintptr(unsafe.Pointer(&syscall.Timespec{})), 0, 0, 0)
	return n == 1 && p.revents&(pollRDHup|pollErr|pollHup) != 0
}
