// Command backend stands in for a backend server in tests: it announces itself
// to its node, checks fences if told to, runs requests for a set time on a set
// number of slots, and logs every run so that a test can judge the router.
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
	listen      string
	announce    string
	service     string
	server      string
	slots       int
	connections int
	divided     bool
	checksFence bool
	coldStart   time.Duration
	work        time.Duration
	logFile     string
}

func parseOptions() options {
	var o options
	flag.StringVar(&o.listen, "listen", "127.0.0.1:0", "IP:port to listen on")
	flag.StringVar(&o.announce, "announce", "", "http://IP:port of the node's backend listener")
	flag.StringVar(&o.service, "service", "painel", "service to announce")
	flag.StringVar(&o.server, "server", "", "id in the log (default: the listen address)")
	flag.IntVar(&o.slots, "slots", 20, "requests that run at a time")
	flag.IntVar(&o.connections, "connections", 100, "connections that are accepted at a time")
	flag.BoolVar(&o.divided, "divided", false, "announce the service as divided by key")
	flag.BoolVar(&o.checksFence, "checks-fence", false, "refuse grants that are outdated")
	flag.DurationVar(&o.coldStart, "cold-start", 0, "time after the start in which work takes ten times as long")
	flag.DurationVar(&o.work, "work", 0, "time that a request takes")
	flag.StringVar(&o.logFile, "log", "", "file for the log of runs")
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
			log.Fatalf("cannot open the log of runs: %v", err)
		}
	}
	s := newServer(o, runs)
	if o.announce != "" {
		go s.announceForever(listener.Addr().String())
	}
	log.Printf("listening on %s", listener.Addr())
	srv := &http.Server{Handler: s.handler(), ReadHeaderTimeout: 10 * time.Second}
	log.Fatal(srv.Serve(limitConnections(listener, o.connections)))
}
