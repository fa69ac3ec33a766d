package peer

import (
	"net"
	"time"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/wire"
)

// sessionKind is the type of a session between two nodes.
type sessionKind string

// Control messages and request bodies use separate sessions, so that a large
// body never delays a lease renewal.
const (
	controlSession sessionKind = "control"
	trafficSession sessionKind = "traffic"
)

// handshakeTimeout bounds the exchange of Hello and HelloReply. It detects a
// frozen peer, whose kernel still accepts connections.
const handshakeTimeout = 500 * time.Millisecond

// clientHandshake sends the Hello of the dialing side and waits for the reply.
// It returns the peer's identity.
func (t *Transport) clientHandshake(conn net.Conn, kind sessionKind) (cluster.MemberRef, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return cluster.MemberRef{}, err
	}
	self := t.self()
	hello := &wire.Hello{
		Protocol: wire.ProtocolVersion, Fleet: t.cfg.Fleet, Name: self.Name,
		Incarnation: self.Incarnation, Session: string(kind),
	}
	b, err := appendSized(nil, hello, maxHelloBytes)
	if err != nil {
		return cluster.MemberRef{}, err
	}
	if _, err = conn.Write(b); err != nil {
		return cluster.MemberRef{}, err
	}
	var reply wire.HelloReply
	if err = readSized(conn, &reply, maxHelloBytes); err != nil {
		return cluster.MemberRef{}, err
	}
	if reply.Error != "" {
		return cluster.MemberRef{}, errRefused.New("%s", reply.Error)
	}
	from := cluster.MemberRef{Name: reply.Name, Incarnation: reply.Incarnation}
	return from, conn.SetDeadline(time.Time{})
}

// serverHandshake reads the Hello of an accepted connection and replies to it.
// It returns the peer's identity and the kind of the session.
func (t *Transport) serverHandshake(conn net.Conn) (cluster.MemberRef, sessionKind, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return cluster.MemberRef{}, "", err
	}
	var hello wire.Hello
	if err := readSized(conn, &hello, maxHelloBytes); err != nil {
		return cluster.MemberRef{}, "", err
	}
	refusal := t.checkHello(&hello)
	self := t.self()
	reply := &wire.HelloReply{Name: self.Name, Incarnation: self.Incarnation}
	if refusal != nil {
		reply.Error = refusal.Error()
	}
	b, err := appendSized(nil, reply, maxHelloBytes)
	if err != nil {
		return cluster.MemberRef{}, "", err
	}
	if _, err = conn.Write(b); err != nil {
		return cluster.MemberRef{}, "", err
	}
	if refusal != nil {
		return cluster.MemberRef{}, "", refusal
	}
	from := cluster.MemberRef{Name: hello.Name, Incarnation: hello.Incarnation}
	return from, sessionKind(hello.Session), conn.SetDeadline(time.Time{})
}

// checkHello returns the reason for refusing a Hello, or nil.
func (t *Transport) checkHello(h *wire.Hello) error {
	kind := sessionKind(h.Session)
	switch {
	case h.Protocol != wire.ProtocolVersion:
		return errRefused.New("protocol version %d of %q is not supported, this node speaks %d", h.Protocol, h.Name, wire.ProtocolVersion)
	case h.Fleet != t.cfg.Fleet:
		return errRefused.New("%q belongs to fleet %q, this node to fleet %q", h.Name, h.Fleet, t.cfg.Fleet)
	case h.Name == "":
		return errRefused.New("the peer gives no name")
	case kind != controlSession && kind != trafficSession:
		return errRefused.New("unlisted kind of session %q", h.Session)
	default:
		return nil
	}
}
