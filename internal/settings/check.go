package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// The check tags, with what each expects.
const (
	checkName      = "name"
	checkListen    = "listen"
	checkAdvertise = "advertise"
	checkIP        = "ip"
	checkURL       = "url"
	checkLevel     = "level"
)

// levels are the log levels, from the most to the least talkative.
var levels = []string{"trace", "debug", "info", "warn", "error"}

// namePattern keeps names usable in platform keys, metrics and headers.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// expectation says in a few words what a field takes.
func expectation(f reflect.StructField) string {
	switch f.Tag.Get("check") {
	case checkName:
		return "1 to 63 letters, digits, dots, dashes or underscores"
	case checkListen:
		return `a numeric address with a port from 1 to 65535, such as "127.0.0.1:7000"`
	case checkAdvertise:
		return `a numeric address that others can dial, such as "10.1.2.3:7000"`
	case checkIP:
		return `an IP address in numbers, such as "10.1.2.3"`
	case checkURL:
		return `a list of URLs with numeric addresses, such as ["http://10.1.2.3:9000"]`
	case checkLevel:
		return "one of " + strings.Join(levels, ", ")
	}
	return expectedType(f)
}

// expectedType says what type and range a field without a check tag has.
func expectedType(f reflect.StructField) string {
	switch {
	case f.Type == durationType:
		return fmt.Sprintf("a duration with its unit, such as %q, from %s to %s",
			f.Tag.Get("default"), f.Tag.Get("min"), f.Tag.Get("max"))
	case f.Type.Kind() == reflect.Bool:
		return "true or false"
	case f.Tag.Get("max") == "":
		return "a whole number of at least " + f.Tag.Get("min")
	}
	return fmt.Sprintf("a whole number from %s to %s", f.Tag.Get("min"), f.Tag.Get("max"))
}

// checkField checks one value that has the right type.
func checkField(found *problems, path string, f reflect.StructField, v reflect.Value) {
	switch {
	case f.Type == durationType:
		d := time.Duration(v.Int())
		if d < mustDuration(f.Tag.Get("min")) || d > mustDuration(f.Tag.Get("max")) {
			found.add(path, "got %q; expected %s", d, expectation(f))
		}
	case v.CanInt():
		checkRange(found, path, f, v.Int())
	case v.Kind() == reflect.Slice:
		checkURLs(found, path, f, v.Interface().([]string))
	case v.Kind() == reflect.String:
		if !validText(f.Tag.Get("check"), v.String()) && !isEmptyDefault(f, v) {
			found.add(path, "got %q; expected %s", v.String(), expectation(f))
		}
	}
}

func isEmptyDefault(f reflect.StructField, v reflect.Value) bool {
	text, ok := f.Tag.Lookup("default")
	return ok && text == "" && v.String() == ""
}

func checkRange(found *problems, path string, f reflect.StructField, n int64) {
	bound := func(tag string) (int64, bool) {
		b, err := strconv.ParseInt(f.Tag.Get(tag), 10, 64)
		return b, err == nil
	}
	low, hasLow := bound("min")
	high, hasHigh := bound("max")
	if hasLow && n < low || hasHigh && n > high {
		found.add(path, "got %d; expected %s", n, expectation(f))
	}
}

func checkURLs(found *problems, path string, f reflect.StructField, urls []string) {
	if len(urls) == 0 {
		found.add(path, "got an empty list; expected %s", expectation(f))
	}
	for i, u := range urls {
		if !validURL(u) {
			found.add(fmt.Sprintf("%s[%d]", path, i),
				`got %q; expected a URL with a numeric address, such as "http://10.1.2.3:9000"`, u)
		}
	}
}

// validText reports whether s is what the check tag asks for.
func validText(check, s string) bool {
	switch check {
	case checkName:
		return namePattern.MatchString(s)
	case checkListen:
		_, ok := parseAddr(s)
		return ok
	case checkAdvertise:
		a, ok := parseAddr(s)
		return ok && !a.Addr().IsUnspecified()
	case checkIP:
		a, err := netip.ParseAddr(s)
		return err == nil && !a.IsUnspecified()
	case checkLevel:
		return slices.Contains(levels, s)
	}
	return true
}

// parseAddr reads an IP:port in numbers. Port 0 is refused: peers learn the
// address from the settings, before it is bound.
func parseAddr(s string) (netip.AddrPort, bool) {
	a, err := netip.ParseAddrPort(s)
	return a, err == nil && a.Port() != 0
}

func validURL(s string) bool {
	u, err := url.Parse(s)
	if err != nil || u.Scheme != "http" || u.RawQuery != "" || u.User != nil {
		return false
	}
	_, ok := parseAddr(u.Host)
	return ok && (u.Path == "" || u.Path == "/")
}

// mustDuration reads a duration of a struct tag.
func mustDuration(s string) time.Duration {
	d, err := time.ParseDuration(s)
	if err != nil {
		panic("settings: struct tag: " + err.Error())
	}
	return d
}
