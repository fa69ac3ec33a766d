package main

import (
	"context"
	"log"
	"net/http"
	"time"

	"github.com/dghubble/sling"
)

// announceInterval is the time between announcements.
const announceInterval = time.Second

// announcement is the body of POST /v1/announce, in which a backend server
// describes itself to its node.
type announcement struct {
	Service      string `json:"service"`
	Address      string `json:"address"`
	Slots        int    `json:"slots"`
	Connections  int    `json:"connections"`
	DividedByKey bool   `json:"divided_by_key"`
	ChecksFence  bool   `json:"checks_fence"`
	Leaving      bool   `json:"leaving"`
	Ready        bool   `json:"ready"`
}

// announceLoop sends announcements at a fixed interval and when a switch changes. A
// frozen server sends none. It never returns.
func (s *server) announceLoop(address string) {
	client := &http.Client{Timeout: announceInterval}
	failed := false
	for {
		s.switches.waitWhileFrozen()
		err := s.announceOnce(client, address)
		if (err != nil) != failed {
			failed = err != nil
			log.Printf("announcement to %s: error %v", s.opts.announce, err)
		}
		select {
		case <-time.After(announceInterval):
		case <-s.switches.changed:
		}
	}
}

func (s *server) announceOnce(client *http.Client, address string) error {
	a := announcement{
		Service:      s.opts.service,
		Address:      address,
		Slots:        s.opts.slots,
		Connections:  s.opts.connections,
		DividedByKey: s.opts.dividedByKey,
		ChecksFence:  s.opts.checksFence,
		Leaving:      s.switches.draining(),
		Ready:        true,
	}
	req, err := sling.New().Base(s.opts.announce).Post("/v1/announce").BodyJSON(a).Request()
	if err != nil {
		return err
	}
	resp, err := client.Do(req.WithContext(context.Background()))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &statusError{resp.Status}
	}
	return nil
}

// statusError is a response of the node with a status other than 200.
type statusError struct{ status string }

func (e *statusError) Error() string { return "the node responded with status " + e.status }
