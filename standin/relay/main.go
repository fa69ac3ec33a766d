// Command relay passes TCP between nodes, so that a test can cut them from
// each other. A node advertises a relay address in place of its own and dials
// from an IP of its own, so that the relay knows both ends. While a direction
// is cut its bytes, and the ends of its connections, are held and not lost:
// like packet loss, they arrive late or with the end of the cut.
package main

import (
	"flag"
	"log"
	"net"
	"net/http"
	"strings"
	"time"
)

// mapFlags collects repeated --map listen=target.
type mapFlags []string

// String returns the flags joined.
func (m *mapFlags) String() string { return strings.Join(*m, ",") }

// Set adds one flag.
func (m *mapFlags) Set(s string) error {
	*m = append(*m, s)
	return nil
}

func main() {
	log.SetPrefix("relay: ")
	var maps mapFlags
	admin := flag.String("admin", "127.0.0.1:0", "IP:port of the admin listener")
	flag.Var(&maps, "map", "listen=target, both IP:port, with @IP if connections come from one IP; may be repeated")
	flag.Parse()
	n := newNetwork()
	for _, m := range maps {
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
	log.Printf("admin on %s, %d listeners", l.Addr(), len(maps))
	srv := &http.Server{Handler: n.adminHandler(), ReadHeaderTimeout: time.Second}
	log.Fatal(srv.Serve(l))
}
