package outbound

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// DialTimeout limits the time to open a connection. A host that can't connect sends
	// through another one, which has to fit into what is left of a short deadline.
	DialTimeout = 300 * time.Millisecond
	// userTimeout is how long sent bytes may stay unacknowledged before the
	// connection counts as lost (TCP_USER_TIMEOUT).
	userTimeout = 1500 * time.Millisecond
	// keepAliveIdle and keepAliveInterval are the times before and between TCP
	// keep-alive probes. After keepAliveCount probes without a reply the
	// connection counts as lost.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
)

// Dialer returns a dialer whose connections end soon after the remote side stops
// responding, even while they are idle. They come from the address source, or from one
// that the system chooses if it is the zero value.
func Dialer(source netip.Addr) *net.Dialer {
	var local net.Addr
	if source.IsValid() {
		local = net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0))
	}
	return &net.Dialer{
		Timeout: DialTimeout, LocalAddr: local,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c) },
	}
}

// Listen listens on address. The connections it accepts end soon after the remote
// side stops responding.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
	return config.Listen(ctx, "tcp", address)
}

// setUserTimeout sets TCP_USER_TIMEOUT on a socket.
func setUserTimeout(c syscall.RawConn) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}

// reusable reports whether an idle connection is still open and has received no
// bytes.
func reusable(conn net.Conn) bool {
	s, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, recvErr := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = recvErr == unix.EAGAIN
		return true
	})
	return err == nil && empty
}
