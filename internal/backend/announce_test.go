package backend

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
)

func TestListenerReportsValidChangesAndWithdrawal(t *testing.T) {
	reported := make(chan *Announcement, 10)
	l := NewListener("127.0.0.1:0", hclog.NewNullLogger(), func(a *Announcement) { reported <- a })
	l.withdrawAfter = 50 * time.Millisecond
	if err := l.Listen(); err != nil {
		t.Fatal(err)
	}
	go l.Serve(t.Context())
	good := Announcement{Service: "painel", Address: "127.0.0.1:1", Slots: 2, Connections: 2, Ready: true}
	send := func(v any) int {
		b, _ := json.Marshal(v)
		resp, err := http.Post("http://"+l.Addr()+AnnouncePath, "application/json", bytes.NewReader(b))
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		return resp.StatusCode
	}
	bad := good
	bad.Address = "localhost:1"
	for _, v := range []any{bad, Announcement{}, map[string]any{"service": "x", "extra": 1}} {
		if status := send(v); status != http.StatusBadRequest {
			t.Errorf("%v got status %d", v, status)
		}
	}
	for range 3 {
		if status := send(good); status != http.StatusOK {
			t.Fatalf("status %d", status)
		}
	}
	if a := <-reported; a == nil || *a != good {
		t.Fatalf("reported announcement %v", a)
	}
	if a := <-reported; a != nil {
		t.Fatalf("expected the withdrawal, got announcement %v", a)
	}
}
