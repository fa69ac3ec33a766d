package config

import (
	"errors"
	"math"
	"testing"
	"time"

	"fulmarhinge/internal/contract"
)

// validConfig returns a valid configuration with two services.
func validConfig() *Config {
	c := New()
	c.Revision = 1
	c.Services["painel"] = Service{Name: "painel", DividedByKey: true, Shards: 16}
	c.Services["arquivo"] = Service{Name: "arquivo"}
	c.FixedShards["painel"] = 16
	c.Routes["painel"] = Route{Name: "painel", PathPrefix: "/painel/", Service: "painel", CustomerHeader: "Customer", KeySegment: 2}
	c.Routes["arquivo"] = Route{Name: "arquivo", Host: "arquivo.example", PathPrefix: "/", Service: "arquivo", CustomerHeader: "Customer"}
	ct := contractOf("padaria-1", 100)
	ct.Services = map[string]contract.Terms{"painel": terms(50)}
	c.Contracts["padaria-1"] = ct
	return c
}

// editService changes one service of a configuration.
func editService(name string, edit func(*Service)) func(*Config) {
	return func(c *Config) {
		s := c.Services[name]
		edit(&s)
		c.Services[name] = s
	}
}

// editRoute changes one route of a configuration.
func editRoute(name string, edit func(*Route)) func(*Config) {
	return func(c *Config) {
		r := c.Routes[name]
		edit(&r)
		c.Routes[name] = r
	}
}

// editContract changes the contract of validConfig.
func editContract(edit func(*contract.Contract)) func(*Config) {
	return func(c *Config) {
		ct := c.Contracts["padaria-1"]
		edit(&ct)
		c.Contracts["padaria-1"] = ct
	}
}

func TestValidateReportsFieldPath(t *testing.T) {
	cases := []struct {
		name string
		edit func(*Config)
		path string
	}{
		{"no shards", editService("painel", func(s *Service) { s.Shards = 0 }), `services["painel"].shards`},
		{"changed shards", editService("painel", func(s *Service) { s.Shards = 32 }), `services["painel"].shards`},
		{"shards of a service not divided by key", editService("arquivo", func(s *Service) { s.Shards = 4 }), `services["arquivo"].shards`},
		{"name differs from its key", editService("arquivo", func(s *Service) { s.Name = "x" }), `services["arquivo"].name`},
		{"name with a slash", func(c *Config) { c.Services["a/b"] = Service{Name: "a/b"} }, `services["a/b"].name`},
		{"unknown service", editRoute("painel", func(r *Route) { r.Service = "x" }), `routes["painel"].service`},
		{"no key", editRoute("painel", func(r *Route) { r.KeySegment = 0 }), `routes["painel"].key_segment`},
		{"key within the prefix", editRoute("painel", func(r *Route) { r.KeySegment = 1 }), `routes["painel"].key_segment`},
		{"key of a service not divided by key", editRoute("arquivo", func(r *Route) { r.KeySegment = 1 }), `routes["arquivo"].key_segment`},
		{"invalid header name", editRoute("arquivo", func(r *Route) { r.CustomerHeader = "a b" }), `routes["arquivo"].customer_header`},
		{"host with a port", editRoute("arquivo", func(r *Route) { r.Host = "a:80" }), `routes["arquivo"].host`},
		{"relative prefix", editRoute("arquivo", func(r *Route) { r.PathPrefix = "a" }), `routes["arquivo"].path_prefix`},
		{"same host and prefix as another route", func(c *Config) {
			r := c.Routes["painel"]
			r.Name = "painel-2"
			c.Routes["painel-2"] = r
		}, `routes["painel-2"].path_prefix`},
		{"no rate", editContract(func(ct *contract.Contract) { ct.Total.Rate = 0 }), `contracts["padaria-1"].total.requests_per_second`},
		{"rate not a number", editContract(func(ct *contract.Contract) { ct.Total.Rate = math.NaN() }), `contracts["padaria-1"].total.requests_per_second`},
		{"no burst", editContract(func(ct *contract.Contract) { ct.Total.Burst = 0 }), `contracts["padaria-1"].total.burst`},
		{"negative waiting", editContract(func(ct *contract.Contract) { ct.Total.MaxWaiting = -1 }), `contracts["padaria-1"].total.max_waiting`},
		{"no time", editContract(func(ct *contract.Contract) { ct.Total.MaxTime = 0 }), `contracts["padaria-1"].total.max_time`},
		{"time above the maximum", editContract(func(ct *contract.Contract) { ct.Total.MaxTime = contract.Duration(2 * time.Hour) }), `contracts["padaria-1"].total.max_time`},
		{"service above total", editContract(func(ct *contract.Contract) {
			ct.Services = map[string]contract.Terms{"painel": terms(101)}
		}), `contracts["padaria-1"].services["painel"].requests_per_second`},
		{"terms of an unknown service", editContract(func(ct *contract.Contract) {
			ct.Services = map[string]contract.Terms{"x": terms(1)}
		}), `contracts["padaria-1"].services`},
		{"customer differs from its key", editContract(func(ct *contract.Contract) { ct.Customer = "y" }), `contracts["padaria-1"].customer`},
		{"customer with a space", func(c *Config) { c.Contracts["a b"] = contractOf("a b", 1) }, `contracts["a b"].customer`},
	}
	if err := Validate(validConfig()); err != nil {
		t.Fatalf("valid configuration: %v", err)
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			cfg := validConfig()
			c.edit(cfg)
			err := Validate(cfg)
			var invalid *InvalidError
			if !ErrInvalid.Has(err) || !errors.As(err, &invalid) {
				t.Fatalf("error %v, expected an InvalidError", err)
			}
			for _, p := range invalid.Problems {
				if p.Path == c.path && p.Expected != "" && p.Got != "" {
					return
				}
			}
			t.Errorf("problems %v, expected one at %s", invalid.Problems, c.path)
		})
	}
}

func TestDivisionByKeyCannotBeRevoked(t *testing.T) {
	next := validConfig()
	delete(next.Routes, "painel")
	next.Services["painel"] = Service{Name: "painel"}
	if err := ValidateChange(validConfig(), next); !ErrInvalid.Has(err) {
		t.Errorf("error %v, expected invalid", err)
	}
	if err := ValidateChange(validConfig(), validConfig()); err != nil {
		t.Error(err)
	}
}
