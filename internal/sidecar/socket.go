package sidecar

import (
	"cmp"
	"errors"
	"net"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// What the system knows of a connection without reading from it is asked here. Nothing in this file waits.

// socket is the socket of a connection, if it has one.
func rawConn(c net.Conn) (syscall.RawConn, error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}

// stillOpen looks whether the peer has closed an idle connection or sent what nobody asked for.
func stillOpen(c net.Conn) bool {
	_, err := peek(c)
	return errors.Is(err, syscall.EAGAIN)
}

// peek tells how many bytes can be read: 0 without an error at the end of the stream.
func peek(c net.Conn) (n int, err error) {
	raw, err := rawConn(c)
	if err != nil {
		return 0, err
	}
	controlErr := raw.Control(func(fd uintptr) { // and not Read, which waits for other readers
		var buf [1]byte
		n, _, err = syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return n, cmp.Or(controlErr, err)
}

// unacknowledged is how many bytes written to a connection its peer's machine has not acknowledged yet.
func unackedBytes(c net.Conn) (n int, err error) {
	raw, err := rawConn(c)
	if err != nil {
		return 0, err
	}
	controlErr := raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return n, cmp.Or(controlErr, err)
}

// hungUp looks whether the peer of a socket has ended its sending or reset the connection.
func hungUp(fd uintptr) bool {
	const pollRDHup, pollErr, pollHup = 0x2000, 0x8, 0x10
	p := struct {
		fd              int32
		events, revents int16
	}{fd: int32(fd), events: pollRDHup}
	n, _, _ := syscall.Syscall6(syscall.SYS_PPOLL, uintptr(unsafe.Pointer(&p)), 1, uintptr(unsafe.Pointer(&syscall.Timespec{})), 0, 0, 0)
	return n == 1 && p.revents&(pollRDHup|pollErr|pollHup) != 0
}
