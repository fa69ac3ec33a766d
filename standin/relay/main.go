// Command relay forwards TCP connections between nodes, so that a test can
// partition them. A node advertises a relay address in place of its own address
// and dials from its own IP, so that the relay knows both ends of a connection.
// While a direction is cut, the relay holds back its bytes and the closing of its
// connections, and forwards them when the cut ends, as TCP does after packet loss.
package main

import (
	"flag"
	"log"
	"net"
	"net/http"
	"strings"
	"time"
)

// mappingFlags collects the values of the repeated flag --map listen=target.
type mappingFlags []string

// String implements flag.Value.
func (m *mappingFlags) String() string { return strings.Join(*m, ",") }

// Set implements flag.Value.
func (m *mappingFlags) Set(s string) error {
	*m = append(*m, s)
	return nil
}

func main() {
	log.SetPrefix("relay: ")
	var mappings mappingFlags
	admin := flag.String("admin", "127.0.0.1:0", "IP:port of the admin listener")
	flag.Var(&mappings, "map", "listen=target, both IP:port, optionally followed by @IP to attribute all connections to that IP; may be repeated")
	flag.Parse()
	n := newNetwork()
	for _, m := range mappings {
		listen, target, ok := strings.Cut(m, "=")
		if !ok {
			log.Fatalf("--map %s: expected listen=target", m)
		}
		target, source, _ := strings.Cut(target, "@")
		l, err := net.Listen("tcp", listen)
		if err != nil {
			log.Fatalf("cannot listen: %v", err)
		}
		go n.accept(l, target, source)
	}
	l, err := net.Listen("tcp", *admin)
	if err != nil {
		log.Fatalf("cannot listen: %v", err)
	}
	log.Printf("admin on %s, %d listeners", l.Addr(), len(mappings))
	srv := &http.Server{Handler: n.adminHandler(), ReadHeaderTimeout: time.Second}
	log.Fatal(srv.Serve(l))
}
