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
	// targetTimeout and storeTimeout are how long nothing may arrive on a connection, while
	// sent bytes or keep-alive probes wait for it, before the connection counts as lost
	// (TCP_USER_TIMEOUT). Probes are a second apart, whatever their count, and a sound target
	// may be silent for a second or two: it must miss three in a row.
	targetTimeout = 3500 * time.Millisecond
	storeTimeout  = 1500 * time.Millisecond
	// keepAliveIdle and keepAliveInterval are the times before and between TCP
	// keep-alive probes, in whole seconds on Linux. Where no timeout is set, the connection
	// counts as lost after keepAliveCount probes without a reply.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// Dialer returns a dialer for targets, whose connections end some seconds after the target
// stops responding, even while they are idle. They come from the address source, or from one
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
		Control: func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c, targetTimeout) },
	}
}

// StoreDialer returns a dialer for the store, whose connections end sooner: a watch waits on
// them for long, and what it tells has to arrive within seconds.
func StoreDialer() *net.Dialer {
	d := Dialer(netip.Addr{})
	d.Control = func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c, storeTimeout) }
	return d
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
func setUserTimeout(c syscall.RawConn, timeout time.Duration) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}

// rawConn returns the socket of a connection, and whether it has one.
func rawConn(conn net.Conn) (syscall.RawConn, bool) {
	s, ok := conn.(syscall.Conn)
	if !ok {
		return nil, false
	}
	raw, err := s.SyscallConn()
	return raw, err == nil
}

// tcpInfo returns what the system says of a connection, nil if it doesn't tell.
func tcpInfo(conn net.Conn) *unix.TCPInfo {
	raw, ok := rawConn(conn)
	if !ok {
		return nil
	}
	var info *unix.TCPInfo
	_ = raw.Control(func(fd uintptr) {
		if got, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			info = got
		}
	})
	return info
}

// isLost reports whether nothing has arrived on a connection for a time, not even the
// acknowledgement of a keep-alive probe. It returns false if the system doesn't tell.
func isLost(conn net.Conn, after time.Duration) bool {
	info := tcpInfo(conn)
	return info != nil && time.Duration(min(info.Last_ack_recv, info.Last_data_recv))*time.Millisecond >= after
}

// hasDelivered reports whether the remote side has acknowledged all that was written to a
// connection, and hasn't reset it. It returns true if the system doesn't tell.
func hasDelivered(conn net.Conn) bool {
	if hasError(conn) {
		return false
	}
	info := tcpInfo(conn)
	return info == nil || info.Unacked == 0 && info.Notsent_bytes == 0
}

// hasError reports whether the system holds an error of a connection, such as a reset, that no read or
// write has returned yet, and takes it from the system.
func hasError(conn net.Conn) bool {
	raw, ok := rawConn(conn)
	if !ok {
		return false
	}
	failed := false
	_ = raw.Control(func(fd uintptr) {
		code, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
		failed = err == nil && code != 0
	})
	return failed
}

// isEstablished reports whether a connection is open and the remote side hasn't ended it,
// also while another goroutine reads from it.
func isEstablished(conn net.Conn) bool {
	info := tcpInfo(conn)
	return info != nil && info.State == unix.BPF_TCP_ESTABLISHED
}

// reusable reports whether an idle connection is still open and has received no
// bytes.
func reusable(conn net.Conn) bool {
	raw, ok := rawConn(conn)
	if !ok {
		return false
	}
	empty := false
	err := raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, recvErr := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = recvErr == unix.EAGAIN
		return true
	})
	return err == nil && empty
}
