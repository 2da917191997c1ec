package resp2

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// hasDeparted reports whether the client has closed its connection, or its sending side, though requests that it sent before may still be unread.
// Such a client waits for no answer: a request that is read now must not be forwarded.
func hasDeparted(conn net.Conn) (departed bool) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	raw.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(poll, 0)
		departed = err == nil && n > 0 && poll[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return departed
}
