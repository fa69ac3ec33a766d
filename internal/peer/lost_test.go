package peer

import (
	"net"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
)

// slowCloseConn is a connection whose close takes a while, as system calls do on a VM
// that lacks processor time.
type slowCloseConn struct{ net.Conn }

func (c slowCloseConn) Close() error {
	time.Sleep(2 * time.Millisecond)
	return c.Conn.Close()
}

// processorTime returns the processor time that this process has used.
func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		t.Fatal(err)
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// tcpPair returns both ends of a connection.
func tcpPair(t *testing.T) (dialed, accepted net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if dialed, err = net.Dial("tcp", ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if accepted, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = dialed.Close(), accepted.Close() })
	return dialed, accepted
}

// longestPause returns the longest time between two wake-ups of a goroutine that sleeps
// for a short time again and again until stop is closed.
func longestPause(stop <-chan struct{}) time.Duration {
	longest, last := time.Duration(0), time.Now()
	for {
		select {
		case <-stop:
			return max(longest, time.Since(last))
		case <-time.After(5 * time.Millisecond):
		}
		longest, last = max(longest, time.Since(last)), time.Now()
	}
}

// TestEndingSessionTakesNoProcessorTime guards against requests that wait on a session which ends and take all processor
// time until it has ended.
func TestEndingSessionTakesNoProcessorTime(t *testing.T) {
	const requests = 100
	tests := []struct {
		name string
		end  func(s *dialedSession, peer net.Conn)
	}{
		{"the peer does not answer a ping", func(s *dialedSession, _ net.Conn) { s.closeUnlessAnswered() }},
		{"the peer closes", func(_ *dialedSession, peer net.Conn) { _ = peer.Close() }},
		{"a write fails", func(s *dialedSession, peer net.Conn) {
			_ = peer.(*net.TCPConn).SetLinger(0)
			_ = peer.Close()
			for range 50 {
				if stream, err := s.mux.OpenStream(); err == nil {
					_, _ = stream.Write([]byte("x"))
				}
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
			dialed, accepted := tcpPair(t)
			conn := &activityConn{Conn: newBatchConn(slowCloseConn{dialed})}
			mux, err := yamux.Client(conn, sessionConfig(0, trafficWriteTimeout))
			if err != nil {
				t.Fatal(err)
			}
			s := &dialedSession{mux: mux, conn: conn}
			var waiting sync.WaitGroup
			for range requests {
				stream, err := mux.OpenStream()
				if err != nil {
					t.Fatal(err)
				}
				_ = stream.SetReadDeadline(time.Now().Add(time.Minute))
				waiting.Go(func() { _, _ = stream.Read(make([]byte, 1)) })
			}
			time.Sleep(20 * time.Millisecond)
			used := processorTime(t)
			stop, pause := make(chan struct{}), make(chan time.Duration)
			go func() { pause <- longestPause(stop) }()
			test.end(s, accepted)
			waiting.Wait()
			close(stop)
			longest := <-pause
			used = processorTime(t) - used
			t.Logf("longest pause %v, processor time %v", longest, used)
			if longest > 100*time.Millisecond || used > 100*time.Millisecond {
				t.Errorf("while a session with %d requests ended, other goroutines did not run for %v; it took %v of processor time", requests, longest, used)
			}
		})
	}
}
