package main

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"
)

// echoServer starts a server that echoes all data and returns its address.
func echoServer(t *testing.T, ip string) string {
	t.Helper()
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	return l.Addr().String()
}

func dialFrom(t *testing.T, ip, address string) net.Conn {
	t.Helper()
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
	c, err := d.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

func TestCutHoldsBytesUntilHeal(t *testing.T) {
	const clientIP, targetIP = "127.0.7.1", "127.0.7.2"
	cases := map[string]direction{
		"request direction": {clientIP, targetIP},
		"answer direction":  {targetIP, clientIP},
		"everything":        {anyIP, anyIP},
	}
	for name, cut := range cases {
		t.Run(name, func(t *testing.T) {
			n := newNetwork()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { l.Close() })
			target := echoServer(t, targetIP)
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go n.relay(c.(*net.TCPConn), clientIP, target)
				}
			}()
			c := dialFrom(t, clientIP, l.Addr().String())
			r := bufio.NewReader(c)
			exchangeLine(t, c, r, time.Second)
			n.updateCuts(func(cuts map[direction]bool) { cuts[cut] = true })
			if _, err := io.WriteString(c, "held\n"); err != nil {
				t.Fatal(err)
			}
			_ = c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
			if line, err := r.ReadString('\n'); err == nil {
				t.Fatalf("received %q although the direction is cut", line)
			}
			n.updateCuts(func(cuts map[direction]bool) { delete(cuts, cut) })
			_ = c.SetReadDeadline(time.Now().Add(time.Second))
			if line, err := r.ReadString('\n'); err != nil || line != "held\n" {
				t.Fatalf("after the end of the cut: %q, %v", line, err)
			}
			if n.resetAll(cut) != 1 {
				t.Fatal("resetAll did not reset exactly one connection")
			}
			_ = c.SetReadDeadline(time.Now().Add(time.Second))
			if _, err := r.ReadByte(); err == nil {
				t.Fatal("the connection is still open after the reset")
			}
		})
	}
}

func exchangeLine(t *testing.T, c net.Conn, r *bufio.Reader, d time.Duration) {
	t.Helper()
	if _, err := io.WriteString(c, "hello\n"); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(d))
	if line, err := r.ReadString('\n'); err != nil || line != "hello\n" {
		t.Fatalf("%q, %v", line, err)
	}
}
