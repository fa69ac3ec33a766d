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

// Values of the struct tag check, which selects the validation of a field.
const (
	checkName      = "name"
	checkListen    = "listen"
	checkAdvertise = "advertise"
	checkIP        = "ip"
	checkURL       = "url"
	checkLevel     = "level"
)

// levels are the log levels, from the most to the least verbose.
var levels = []string{"trace", "debug", "info", "warn", "error"}

// namePattern restricts names to what is valid in platform keys, metrics and headers.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// expectedValue describes the valid values of a field, for error messages.
func expectedValue(f reflect.StructField) string {
	switch f.Tag.Get("check") {
	case checkName:
		return "1 to 63 letters, digits, dots, dashes or underscores"
	case checkListen:
		return `a numeric address with a port from 1 to 65535, such as "127.0.0.1:7000"`
	case checkAdvertise:
		return `a numeric address that others can dial, such as "10.1.2.3:7000"`
	case checkIP:
		return `a numeric IP address, such as "10.1.2.3"`
	case checkURL:
		return `a list of URLs with numeric addresses, such as ["http://10.1.2.3:9000"]`
	case checkLevel:
		return "one of " + strings.Join(levels, ", ")
	}
	return expectedType(f)
}

// expectedType describes the type and range of a field without a check tag.
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

// checkField validates one value that already has the type of its field.
func checkField(problems *problemList, path string, f reflect.StructField, v reflect.Value) {
	switch {
	case f.Type == durationType:
		d := time.Duration(v.Int())
		if d < mustParseDuration(f.Tag.Get("min")) || d > mustParseDuration(f.Tag.Get("max")) {
			problems.add(path, "got %q; expected %s", d, expectedValue(f))
		}
	case v.CanInt():
		checkRange(problems, path, f, v.Int())
	case v.Kind() == reflect.Slice:
		checkURLs(problems, path, f, v.Interface().([]string))
	case v.Kind() == reflect.String:
		if !validText(f.Tag.Get("check"), v.String()) && !isOptionalAndEmpty(f, v) {
			problems.add(path, "got %q; expected %s", v.String(), expectedValue(f))
		}
	}
}

func isOptionalAndEmpty(f reflect.StructField, v reflect.Value) bool {
	text, ok := f.Tag.Lookup("default")
	return ok && text == "" && v.String() == ""
}

func checkRange(problems *problemList, path string, f reflect.StructField, n int64) {
	bound := func(tag string) (int64, bool) {
		b, err := strconv.ParseInt(f.Tag.Get(tag), 10, 64)
		return b, err == nil
	}
	low, hasLow := bound("min")
	high, hasHigh := bound("max")
	if hasLow && n < low || hasHigh && n > high {
		problems.add(path, "got %d; expected %s", n, expectedValue(f))
	}
}

func checkURLs(problems *problemList, path string, f reflect.StructField, urls []string) {
	if len(urls) == 0 {
		problems.add(path, "got an empty list; expected %s", expectedValue(f))
	}
	for i, u := range urls {
		if !validURL(u) {
			problems.add(fmt.Sprintf("%s[%d]", path, i),
				`got %q; expected a URL with a numeric address, such as "http://10.1.2.3:9000"`, u)
		}
	}
}

// validText reports whether s is valid for the value of a check tag.
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

// parseAddr parses a numeric IP:port. Port 0 is rejected, because the address is
// published to peers as written in the settings, before the listener is bound.
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

// mustParseDuration parses the duration in a struct tag.
func mustParseDuration(s string) time.Duration {
	d, err := time.ParseDuration(s)
	if err != nil {
		panic("settings: struct tag: " + err.Error())
	}
	return d
}
