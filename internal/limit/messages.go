package limit

import (
	"time"

	"fulmarhinge/internal/config"
	"fulmarhinge/internal/contract"
	"fulmarhinge/internal/wire"
)

// termsOf returns the terms of a scope, and whether the configuration has any.
func termsOf(c *config.Config, s Scope) (contract.Terms, bool) {
	ct, ok := c.Contracts[s.Customer]
	if !ok || s.Service == "" {
		return ct.Total, ok
	}
	t, ok := ct.Services[s.Service]
	return t, ok
}

func requestMessage(s Scope, req ShareRequest) *wire.Control {
	return &wire.Control{Body: &wire.Control_ShareRequest{ShareRequest: &wire.ShareRequest{
		Customer:    s.Customer,
		Service:     s.Service,
		Seq:         req.Seq,
		WantRate:    req.WantRate,
		HeldRate:    req.Held.Rate,
		HeldBurst:   req.Held.Burst,
		HeldWaiting: uint32(req.Held.MaxWaiting),
	}}}
}

func decodeRequest(r *wire.ShareRequest) (Scope, ShareRequest) {
	held := Share{r.HeldRate, r.HeldBurst, int(r.HeldWaiting)}
	return Scope{r.Customer, r.Service}, ShareRequest{Seq: r.Seq, WantRate: r.WantRate, Held: held}
}

func grantMessage(s Scope, g Grant) *wire.Control {
	return &wire.Control{Body: &wire.Control_ShareGrant{ShareGrant: &wire.ShareGrant{
		Customer: s.Customer,
		Service:  s.Service,
		Seq:      g.Seq,
		Rate:     g.Share.Rate,
		Burst:    g.Share.Burst,
		Waiting:  uint32(g.Share.MaxWaiting),
		Tokens:   g.Tokens,
		TtlMs:    uint64(g.TTL.Milliseconds()),
		Recall:   g.Recall,
	}}}
}

func decodeGrant(r *wire.ShareGrant) (Scope, Grant) {
	return Scope{r.Customer, r.Service}, Grant{
		Seq:    r.Seq,
		Share:  Share{r.Rate, r.Burst, int(r.Waiting)},
		Tokens: r.Tokens,
		TTL:    time.Duration(r.TtlMs) * time.Millisecond,
		Recall: r.Recall,
	}
}

// IsShareMessage reports whether a control message is for a Manager.
func IsShareMessage(c *wire.Control) bool {
	switch c.GetBody().(type) {
	case *wire.Control_ShareRequest, *wire.Control_ShareGrant, *wire.Control_ShareQuery, *wire.Control_ShareReport:
		return true
	}
	return false
}
