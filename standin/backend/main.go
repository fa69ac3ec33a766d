// Command backend is a backend server for tests. It announces itself to its node,
// optionally checks fences, runs each request for a configured time on a
// configured number of slots, and logs every run so that a test can verify the
// behaviour of the router.
package main

import (
	"flag"
	"log"
	"net"
	"net/http"
	"time"

	"fulmarhinge/standin/runlog"
)

// options are the command line flags.
type options struct {
	listen       string
	announce     string
	service      string
	server       string
	slots        int
	connections  int
	dividedByKey bool
	checksFence  bool
	coldStart    time.Duration
	work         time.Duration
	logFile      string
}

func parseOptions() options {
	var o options
	flag.StringVar(&o.listen, "listen", "127.0.0.1:0", "IP:port to listen on")
	flag.StringVar(&o.announce, "announce", "", "http://IP:port of the node's backend listener")
	flag.StringVar(&o.service, "service", "painel", "service to announce")
	flag.StringVar(&o.server, "server", "", "id of the server in the run log (default: the listen address)")
	flag.IntVar(&o.slots, "slots", 20, "maximum number of requests that run concurrently")
	flag.IntVar(&o.connections, "connections", 100, "maximum number of open connections")
	flag.BoolVar(&o.dividedByKey, "divided", false, "announce the service as divided by key")
	flag.BoolVar(&o.checksFence, "checks-fence", false, "refuse requests with a stale fence")
	flag.DurationVar(&o.coldStart, "cold-start", 0, "time after the start during which requests take ten times as long")
	flag.DurationVar(&o.work, "work", 0, "duration of a request")
	flag.StringVar(&o.logFile, "log", "", "file for the run log")
	flag.Parse()
	return o
}

func main() {
	log.SetPrefix("backend: ")
	o := parseOptions()
	listener, err := net.Listen("tcp", o.listen)
	if err != nil {
		log.Fatalf("cannot listen: %v", err)
	}
	if o.server == "" {
		o.server = listener.Addr().String()
	}
	var runs *runlog.Writer
	if o.logFile != "" {
		if runs, err = runlog.Create(o.logFile); err != nil {
			log.Fatalf("cannot open the run log: %v", err)
		}
	}
	s := newServer(o, runs)
	if o.announce != "" {
		go s.announceLoop(listener.Addr().String())
	}
	log.Printf("listening on %s", listener.Addr())
	srv := &http.Server{Handler: s.handler(), ReadHeaderTimeout: 10 * time.Second}
	log.Fatal(srv.Serve(limitConnections(listener, o.connections)))
}
