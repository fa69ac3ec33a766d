// Package peer carries control messages and request streams between the nodes
// of one fleet. A node opens up to two yamux sessions to each peer, one for
// control messages and one for request streams. Control sessions are one-way:
// replies are sent on the session that the replying node opened.
package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/yamux"
	"github.com/zeebo/errs"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/wire"
)

// Error classes of the transport.
var (
	// ErrUnreachable means that no session to the peer could be opened, so
	// nothing was sent.
	ErrUnreachable = errs.Class("peer unreachable")
	errRefused     = errs.Class("peer refused")
)

// Timeouts and limits of sessions.
const (
	dialTimeout = 500 * time.Millisecond
	// controlKeepalive and controlWriteTimeout together bound how long the
	// dialing side takes to detect a half-open control session.
	controlKeepalive    = 500 * time.Millisecond
	controlWriteTimeout = 500 * time.Millisecond
	// acceptedKeepalive is long because the dialing side monitors the session;
	// the accepting side only has to free it eventually.
	acceptedKeepalive    = 15 * time.Second
	acceptedWriteTimeout = 5 * time.Second
	// trafficWriteTimeout bounds writes and pings on traffic sessions, which are
	// pinged only while they carry requests; see monitor.
	trafficWriteTimeout = time.Second
	monitorInterval     = 500 * time.Millisecond
	// trafficIdleTimeout is the time without requests after which a traffic
	// session is closed.
	trafficIdleTimeout = 5 * time.Minute
	// tcpKeepalive makes the kernel close accepted connections whose peer is
	// gone.
	tcpKeepalive = time.Minute
	// controlIdleTimeout is the time without messages after which a control
	// session is closed.
	controlIdleTimeout = 10 * time.Second
	// streamBacklog is the maximum number of streams of a session that wait to
	// be accepted.
	streamBacklog      = 4096
	streamCloseTimeout = 5 * time.Second
	// maxHandshakes bounds the accepted connections whose peer has not said yet who it
	// is. Each ends after handshakeTimeout.
	maxHandshakes = 1024
	// acceptRetryDelay avoids a busy loop when accepting fails, for example when
	// the process is out of file descriptors.
	acceptRetryDelay = 20 * time.Millisecond
)

// Config configures a Transport.
type Config struct {
	Fleet string
	Self  cluster.MemberRef
	// Listen is the IP:port that peers dial.
	Listen string
	// DialFrom is the local IP address of outgoing connections; if empty, the
	// system chooses one.
	DialFrom string
	Logger   hclog.Logger
}

// Stats are the counters of all control sessions. The byte counts include the
// framing of yamux.
type Stats struct {
	BytesSent        uint64
	BytesReceived    uint64
	MessagesSent     uint64
	MessagesReceived uint64
	// MessagesDropped counts messages that were dropped because a queue was full
	// or the peer could not be reached.
	MessagesDropped uint64
}

// Transport exchanges control messages and request streams with peers.
type Transport struct {
	cfg       Config
	selfRef   atomic.Pointer[cluster.MemberRef]
	onControl func(from cluster.MemberRef, m *wire.Control)
	onStream  func(ctx context.Context, from cluster.MemberRef, conn net.Conn)
	log       hclog.Logger

	ctx    context.Context
	cancel context.CancelFunc
	ln     net.Listener
	// handshakes has an element for each connection within its handshake.
	handshakes chan struct{}

	// senderIdleTimeout is how long a sender without messages is kept.
	senderIdleTimeout time.Duration
	// senders and trafficClients are keyed by address.
	senders        sync.Map
	trafficClients sync.Map
	sessions       trafficSessions

	bytesSent, bytesReceived       atomic.Uint64
	messagesSent, messagesReceived atomic.Uint64
	messagesDropped                atomic.Uint64
}

// New returns a transport that is neither listening nor connected. onControl is
// called from one goroutine per session. onStream is called from one goroutine
// per stream, and the stream is closed after it returns.
func New(cfg Config, onControl func(from cluster.MemberRef, m *wire.Control),
	onStream func(ctx context.Context, from cluster.MemberRef, conn net.Conn)) *Transport {
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &Transport{
		cfg: cfg, onControl: onControl, onStream: onStream,
		log: cfg.Logger.Named("peer"), ctx: ctx, cancel: cancel, senderIdleTimeout: senderIdleTimeout,
		handshakes: make(chan struct{}, maxHandshakes),
	}
	t.SetSelf(cfg.Self)
	return t
}

// SetSelf changes the identity that is sent in later handshakes.
func (t *Transport) SetSelf(ref cluster.MemberRef) { t.selfRef.Store(&ref) }

func (t *Transport) self() cluster.MemberRef { return *t.selfRef.Load() }

// Listen binds the listener on which Serve accepts connections.
func (t *Transport) Listen() error {
	lc := net.ListenConfig{KeepAlive: tcpKeepalive}
	ln, err := lc.Listen(t.ctx, "tcp", t.cfg.Listen)
	if err != nil {
		return err
	}
	t.ln = ln
	return nil
}

// Addr returns the address that the listener is bound to.
func (t *Transport) Addr() string { return t.ln.Addr().String() }

// Serve accepts sessions until ctx is done or the transport is closed, and then
// returns nil.
func (t *Transport) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, t.Close)
	defer stop()
	for {
		conn, err := t.ln.Accept()
		if t.ctx.Err() != nil {
			if err == nil {
				_ = conn.Close()
			}
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			t.log.Warn("accept failed", "error", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		select {
		case t.handshakes <- struct{}{}:
			go t.handleConn(conn)
		default:
			t.log.Warn("connection refused: too many without a handshake", "from", conn.RemoteAddr())
			_ = conn.Close()
		}
	}
}

// Close closes all sessions and the listener.
func (t *Transport) Close() {
	t.cancel()
	if t.ln != nil {
		_ = t.ln.Close()
	}
}

// Stats returns the counters of control sessions.
func (t *Transport) Stats() Stats {
	return Stats{
		BytesSent: t.bytesSent.Load(), BytesReceived: t.bytesReceived.Load(),
		MessagesSent: t.messagesSent.Load(), MessagesReceived: t.messagesReceived.Load(),
		MessagesDropped: t.messagesDropped.Load(),
	}
}

// handleConn serves a connection that a peer has opened.
func (t *Transport) handleConn(conn net.Conn) {
	defer conn.Close()
	stop := context.AfterFunc(t.ctx, func() { _ = conn.Close() })
	defer stop()
	from, kind, err := t.serverHandshake(conn)
	<-t.handshakes
	if err != nil {
		if !errors.Is(err, io.EOF) {
			t.log.Warn("session refused", "from", conn.RemoteAddr(), "error", err)
		}
		return
	}
	if kind == controlSession {
		t.serveControl(from, conn)
		return
	}
	t.serveTraffic(from, conn)
}

// dial connects to a peer and performs the handshake.
func (t *Transport) dial(addr string, kind sessionKind) (net.Conn, cluster.MemberRef, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	if t.cfg.DialFrom != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(t.cfg.DialFrom)}
	}
	conn, err := d.DialContext(t.ctx, "tcp", addr)
	if err != nil {
		return nil, cluster.MemberRef{}, ErrUnreachable.Wrap(err)
	}
	to, err := t.clientHandshake(conn, kind)
	if err != nil {
		_ = conn.Close()
		if errRefused.Has(err) {
			t.log.Warn("session refused by peer", "to", addr, "error", err)
		}
		return nil, cluster.MemberRef{}, ErrUnreachable.Wrap(err)
	}
	return conn, to, nil
}

// sessionConfig returns the yamux configuration of one side of a session. A
// keepalive of 0 disables keepalive pings.
func sessionConfig(keepalive, writeTimeout time.Duration) *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = streamBacklog
	c.EnableKeepAlive = keepalive > 0
	if keepalive > 0 {
		c.KeepAliveInterval = keepalive
	}
	c.ConnectionWriteTimeout = writeTimeout
	// The keepalive detects an unresponsive peer, so the timeout of yamux, which
	// costs a goroutine and a timer per stream, is disabled.
	c.StreamOpenTimeout = 0
	c.StreamCloseTimeout = streamCloseTimeout
	// The end of a session is returned as an error; the log lines of yamux add
	// no information.
	c.LogOutput = io.Discard
	return c
}
