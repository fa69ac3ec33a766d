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
	// MaxRate is the highest rate of a contract, in requests a second.
	MaxRate = 100_000_000
	// MaxCount is the highest burst and number of waiting requests.
	MaxCount = 100_000_000
	// LongestTime is the longest time that a contract may let a request take.
	LongestTime = time.Hour
)

// customerPattern is what a customer may be called: it travels in a header.
var customerPattern = regexp.MustCompile(`^[!-~]{1,128}$`)

// Problem is one field that is wrong.
type Problem struct {
	// Path is the field, such as contracts["padaria-1"].total.burst.
	Path string
	// Expected says what the field must be.
	Expected string
	// Got is the value found.
	Got string
}

// String returns one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: expected %s, got %s", p.Path, p.Expected, p.Got)
}

// NewProblem returns a problem with a value of any type.
func NewProblem(path, expected string, got any) Problem {
	if s, ok := got.(string); ok {
		return Problem{Path: path, Expected: expected, Got: fmt.Sprintf("%q", s)}
	}
	return Problem{Path: path, Expected: expected, Got: fmt.Sprint(got)}
}

// Validate returns what is wrong with the contract that stands at path.
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
		at := fmt.Sprintf("%s.services[%q]", path, name)
		problems = append(problems, t.validate(at)...)
		problems = append(problems, t.within(at, c.Total)...)
	}
	return problems
}

// validate returns what is wrong with the terms by themselves.
func (t Terms) validate(path string) []Problem {
	var problems []Problem
	wrong := func(field, expected string, got any) {
		problems = append(problems, NewProblem(path+"."+field, expected, got))
	}
	if math.IsNaN(t.Rate) || t.Rate <= 0 || t.Rate > MaxRate {
		wrong("requests_per_second", fmt.Sprintf("a number above 0 and at most %d", MaxRate), t.Rate)
	}
	if t.Burst < 1 || t.Burst > MaxCount {
		wrong("burst", fmt.Sprintf("a whole number from 1 to %d", MaxCount), t.Burst)
	}
	if t.MaxWaiting < 0 || t.MaxWaiting > MaxCount {
		wrong("max_waiting", fmt.Sprintf("a whole number from 0 to %d", MaxCount), t.MaxWaiting)
	}
	if t.MaxTime < Duration(time.Millisecond) || t.MaxTime > Duration(LongestTime) {
		wrong("max_time", fmt.Sprintf(`a duration from "1ms" to "%v"`, LongestTime), t.MaxTime.D())
	}
	return problems
}

// within returns which terms of a service are above the total.
func (t Terms) within(path string, total Terms) []Problem {
	var problems []Problem
	atMost := func(field string, above bool, limit, got any) {
		if above {
			expected := fmt.Sprintf("at most the total's %v", limit)
			problems = append(problems, NewProblem(path+"."+field, expected, got))
		}
	}
	atMost("requests_per_second", t.Rate > total.Rate, total.Rate, t.Rate)
	atMost("burst", t.Burst > total.Burst, total.Burst, t.Burst)
	atMost("max_waiting", t.MaxWaiting > total.MaxWaiting, total.MaxWaiting, t.MaxWaiting)
	atMost("max_time", t.MaxTime > total.MaxTime, total.MaxTime.D(), t.MaxTime.D())
	return problems
}
