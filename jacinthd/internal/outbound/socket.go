package outbound

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// DialTimeout is the longest that the opening of a connection takes.
	DialTimeout = 600 * time.Millisecond
	// userTimeout is how long sent bytes may go without an acknowledgement
	// before the connection counts as lost.
	userTimeout = 1500 * time.Millisecond
	// keepAliveIdle and probeInterval are the times before and between keep-alive probes.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
)

// Dialer returns a dialer whose connections end soon after the other side went
// silent, also while they carry nothing.
func Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout: DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c) },
	}
}

// Listen listens on address. Connections that it accepts end soon after the
// other side went silent.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
	return config.Listen(ctx, "tcp", address)
}

func setUserTimeout(c syscall.RawConn) error {
	var fault error
	err := c.Control(func(fd uintptr) {
		fault = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return fault
}

// reusable reports whether an idle connection is open and nothing came on it.
func reusable(conn net.Conn) bool {
	s, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, fault := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = fault == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
