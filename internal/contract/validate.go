package contract

import (
	"fmt"
	"math"
	"regexp"
	"slices"
	"time"
)

// Bounds of a contract's terms.
const (
	// MaxRate is the highest rate of a contract, in requests per second.
	MaxRate = 100_000_000
	// MaxRequests is the highest burst and the highest number of waiting
	// requests.
	MaxRequests = 100_000_000
	// MaxRequestTime is the longest time that a contract may allow for a
	// request.
	MaxRequestTime = time.Hour
)

// customerPattern matches valid customer names. They are sent in a header.
var customerPattern = regexp.MustCompile(`^[!-~]{1,128}$`)

// Problem describes one invalid field.
type Problem struct {
	// Path is the field, such as contracts["padaria-1"].total.burst.
	Path string
	// Expected describes the valid values.
	Expected string
	// Got is the value found.
	Got string
}

// String returns the problem in one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: expected %s, got %s", p.Path, p.Expected, p.Got)
}

// NewProblem returns a problem with a value of any type; strings are quoted.
func NewProblem(path, expected string, got any) Problem {
	if s, ok := got.(string); ok {
		return Problem{Path: path, Expected: expected, Got: fmt.Sprintf("%q", s)}
	}
	return Problem{Path: path, Expected: expected, Got: fmt.Sprint(got)}
}

// Validate returns the problems of a contract; path is the contract's path in
// the configuration.
func (c *Contract) Validate(path string) []Problem {
	var problems []Problem
	if !customerPattern.MatchString(c.Customer) {
		p := NewProblem(path+".customer", "1 to 128 printable ASCII characters without spaces", c.Customer)
		problems = append(problems, p)
	}
	problems = append(problems, c.Total.validate(path+".total")...)
	names := make([]string, 0, len(c.Services))
	for name := range c.Services {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		t := c.Services[name]
		servicePath := fmt.Sprintf("%s.services[%q]", path, name)
		problems = append(problems, t.validate(servicePath)...)
		problems = append(problems, t.validateWithin(servicePath, c.Total)...)
	}
	return problems
}

// validate returns the problems of the terms, without comparing them to a total.
func (t Terms) validate(path string) []Problem {
	var problems []Problem
	addProblem := func(field, expected string, got any) {
		problems = append(problems, NewProblem(path+"."+field, expected, got))
	}
	if math.IsNaN(t.Rate) || t.Rate <= 0 || t.Rate > MaxRate {
		addProblem("requests_per_second", fmt.Sprintf("a number above 0 and at most %d", MaxRate), t.Rate)
	}
	if t.Burst < 1 || t.Burst > MaxRequests {
		addProblem("burst", fmt.Sprintf("a whole number from 1 to %d", MaxRequests), t.Burst)
	}
	if t.MaxWaiting < 0 || t.MaxWaiting > MaxRequests {
		addProblem("max_waiting", fmt.Sprintf("a whole number from 0 to %d", MaxRequests), t.MaxWaiting)
	}
	if t.MaxTime < Duration(time.Millisecond) || t.MaxTime > Duration(MaxRequestTime) {
		addProblem("max_time", fmt.Sprintf(`a duration from "1ms" to "%v"`, MaxRequestTime), t.MaxTime.D())
	}
	return problems
}

// validateWithin returns a problem for each of a service's terms that is above
// the total.
func (t Terms) validateWithin(path string, total Terms) []Problem {
	var problems []Problem
	checkAtMost := func(field string, above bool, limit, got any) {
		if above {
			expected := fmt.Sprintf("at most the total's %v", limit)
			problems = append(problems, NewProblem(path+"."+field, expected, got))
		}
	}
	checkAtMost("requests_per_second", t.Rate > total.Rate, total.Rate, t.Rate)
	checkAtMost("burst", t.Burst > total.Burst, total.Burst, t.Burst)
	checkAtMost("max_waiting", t.MaxWaiting > total.MaxWaiting, total.MaxWaiting, t.MaxWaiting)
	checkAtMost("max_time", t.MaxTime > total.MaxTime, total.MaxTime.D(), t.MaxTime.D())
	return problems
}
