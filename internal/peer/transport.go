// Package peer carries messages and request streams between the nodes of one
// fleet. Each node opens two yamux sessions to a peer that it talks to, one
// for control messages and one for request streams; answers to control
// messages travel on the session that the answering node opened.
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
	// ErrUnreachable says that no session to the peer could be had: nothing
	// was sent.
	ErrUnreachable = errs.Class("peer unreachable")
	errRefused     = errs.Class("peer refused")
)

// Time limits of sessions.
const (
	dialTimeout = 500 * time.Millisecond
	// controlKeepalive and controlWrite together bound how long the dialing
	// side takes to notice a half-open control session.
	controlKeepalive = 500 * time.Millisecond
	controlWrite     = 500 * time.Millisecond
	// acceptedKeepalive is long because the dialing side watches the session;
	// the accepting side only has to free it some time.
	acceptedKeepalive = 15 * time.Second
	acceptedWrite     = 5 * time.Second
	// trafficWrite bounds writes and pings on traffic sessions. They are
	// watched only while they carry requests; see watch.
	trafficWrite  = time.Second
	watchInterval = 500 * time.Millisecond
	// trafficIdle closes a traffic session without requests.
	trafficIdle = 5 * time.Minute
	// tcpKeepalive lets the kernel end accepted connections whose peer has
	// vanished.
	tcpKeepalive = time.Minute
	// idleTimeout closes a control session that carries no message.
	idleTimeout = 10 * time.Second
	// streamBacklog is how many streams of a session may wait to be accepted.
	streamBacklog = 4096
	closeTimeout  = 5 * time.Second
	// acceptPause keeps a listener that fails, as when no file descriptor is
	// left, from spinning.
	acceptPause = 20 * time.Millisecond
)

// Config says who a transport speaks for and where.
type Config struct {
	Fleet string
	Self  cluster.MemberRef
	// Listen is the IP:port that peers dial.
	Listen string
	// DialFrom is the local IP that connections to peers come from; empty
	// lets the system choose.
	DialFrom string
	Logger   hclog.Logger
}

// Stats counts what control sessions have carried, yamux frames included.
type Stats struct {
	BytesSent        uint64
	BytesReceived    uint64
	MessagesSent     uint64
	MessagesReceived uint64
	// MessagesDropped were given up because a queue was full or the peer
	// could not be reached.
	MessagesDropped uint64
}

// Transport sends to and receives from peers.
type Transport struct {
	cfg       Config
	ref       atomic.Pointer[cluster.MemberRef]
	onControl func(from cluster.MemberRef, m *wire.Control)
	onStream  func(ctx context.Context, from cluster.MemberRef, conn net.Conn)
	log       hclog.Logger

	ctx    context.Context
	cancel context.CancelFunc
	ln     net.Listener

	// senderIdle is how long the sender to an address stays without messages.
	senderIdle time.Duration
	// senders and routes are keyed by address.
	senders sync.Map
	routes  sync.Map

	bytesSent, bytesReceived       atomic.Uint64
	messagesSent, messagesReceived atomic.Uint64
	messagesDropped                atomic.Uint64
}

// New returns a transport that is neither listening nor connected. onControl
// is called from one goroutine a session; onStream from one a stream, and the
// transport closes the stream after it returns.
func New(cfg Config, onControl func(from cluster.MemberRef, m *wire.Control),
	onStream func(ctx context.Context, from cluster.MemberRef, conn net.Conn)) *Transport {
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &Transport{
		cfg: cfg, onControl: onControl, onStream: onStream,
		log: cfg.Logger.Named("peer"), ctx: ctx, cancel: cancel, senderIdle: senderIdle,
	}
	t.SetSelf(cfg.Self)
	return t
}

// SetSelf changes the reference that later handshakes carry.
func (t *Transport) SetSelf(ref cluster.MemberRef) { t.ref.Store(&ref) }

func (t *Transport) self() cluster.MemberRef { return *t.ref.Load() }

// Listen binds the listener; Serve accepts on it.
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

// Serve accepts sessions until ctx ends or the transport is closed, and then
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
			time.Sleep(acceptPause)
			continue
		}
		go t.accepted(conn)
	}
}

// Close ends all sessions and the listener.
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

// accepted runs a connection that a peer has opened.
func (t *Transport) accepted(conn net.Conn) {
	defer conn.Close()
	stop := context.AfterFunc(t.ctx, func() { _ = conn.Close() })
	defer stop()
	from, kind, err := t.welcome(conn)
	if err != nil {
		if !errors.Is(err, io.EOF) {
			t.log.Warn("session refused", "from", conn.RemoteAddr(), "error", err)
		}
		return
	}
	if kind == controlSession {
		t.acceptControl(from, conn)
		return
	}
	t.acceptTraffic(from, conn)
}

// dial connects to a peer and exchanges the handshake.
func (t *Transport) dial(addr string, kind sessionKind) (net.Conn, cluster.MemberRef, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	if t.cfg.DialFrom != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(t.cfg.DialFrom)}
	}
	conn, err := d.DialContext(t.ctx, "tcp", addr)
	if err != nil {
		return nil, cluster.MemberRef{}, ErrUnreachable.Wrap(err)
	}
	to, err := t.greet(conn, kind)
	if err != nil {
		_ = conn.Close()
		if errRefused.Has(err) {
			t.log.Warn("session refused by peer", "to", addr, "error", err)
		}
		return nil, cluster.MemberRef{}, ErrUnreachable.Wrap(err)
	}
	return conn, to, nil
}

// sessionConfig returns the yamux settings of one side of a session; a
// keepalive of 0 sends none.
func sessionConfig(keepalive, write time.Duration) *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = streamBacklog
	c.EnableKeepAlive = keepalive > 0
	if keepalive > 0 {
		c.KeepAliveInterval = keepalive
	}
	c.ConnectionWriteTimeout = write
	// The keepalive notices a peer that does not answer, without a goroutine
	// and a timer for each stream.
	c.StreamOpenTimeout = 0
	c.StreamCloseTimeout = closeTimeout
	// Sessions report their end as an error; yamux's own lines say no more.
	c.LogOutput = io.Discard
	return c
}
