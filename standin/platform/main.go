// Command platform is a test server for the platform's object API, used by tests
// and by the demo. It keeps all objects in memory and can inject faults.
package main

import (
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"fulmarhinge/internal/platform"
	"fulmarhinge/standin/platform/objectapi"
)

// readHeaderTimeout limits how long a client may take to send its request headers.
const readHeaderTimeout = 5 * time.Second

func main() {
	listen := flag.String("listen", "127.0.0.1:0", "address to serve on, IP:port")
	flag.Parse()
	if err := serve(*listen); err != nil {
		fmt.Fprintln(os.Stderr, "platform:", err)
		os.Exit(1)
	}
}

// serve serves the API until the process is stopped.
func serve(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	fmt.Printf("platform: listening on %s\n", l.Addr())
	server := &http.Server{
		Handler:           objectapi.New(platform.NewMemory()),
		ReadHeaderTimeout: readHeaderTimeout,
	}
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
