package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"
)

const validFile = `{
  "fleet": "test", "name": "n1", "zone": "z1", "region": "r1",
  "caller": {"listen": "0.0.0.0:7000", "advertise": "127.0.0.1:7000"},
  "peer": {"listen": "127.0.0.1:7001"},
  "operator": {"listen": "127.0.0.1:7002"},
  "backend": {"listen": "127.0.0.1:7003"},
  "platform": {"urls": ["http://127.0.0.1:9000"]}
}`

func TestParseFillsDefaults(t *testing.T) {
	s, err := Parse([]byte(validFile))
	if err != nil {
		t.Fatal(err)
	}
	if got := s.Lease.Promise.D(); got != 1700*time.Millisecond {
		t.Errorf("lease.promise = %v", got)
	}
	if s.Peer.Advertise != "127.0.0.1:7001" {
		t.Errorf("peer.advertise = %q", s.Peer.Advertise)
	}
	if s.Log.Level != "info" || s.Limits.MaxHeaderBytes != 65536 {
		t.Errorf("defaults not filled: %+v", s)
	}
}

func TestParseReportsPathAndReason(t *testing.T) {
	tests := []struct {
		name     string
		from, to string
		path     string
		message  string
	}{
		{"unknown field", `"fleet"`, `"flet": 1, "fleet"`, "flet", "unknown field"},
		{"unknown inner field", `"listen": "127.0.0.1:7001"`, `"listen": "127.0.0.1:7001", "port": 1`, "peer.port", "unknown field"},
		{"field in upper case", `"zone"`, `"Zone"`, "Zone", "unknown field"},
		{"missing zone", `"zone": "z1", `, ``, "zone", "missing"},
		{"empty zone", `"z1"`, `""`, "zone", "letters"},
		{"null", `"z1"`, `null`, "zone", "got null"},
		{"field given twice", `"zone": "z1"`, `"zone": "z1", "zone": "z2"`, "zone", "twice"},
		{"host name", `127.0.0.1:7001`, `localhost:7001`, "peer.listen", "numeric address"},
		{"port 0", `127.0.0.1:7002`, `127.0.0.1:0`, "operator.listen", "port from 1"},
		{"no port", `127.0.0.1:7002`, `127.0.0.1`, "operator.listen", "numeric address"},
		{"wildcard without advertise", `, "advertise": "127.0.0.1:7000"`, ``, "caller.advertise", "wildcard"},
		{"operator not loopback", `127.0.0.1:7002`, `10.0.0.1:7002`, "operator.listen", "loopback"},
		{"backend not loopback", `127.0.0.1:7003`, `10.0.0.1:7003`, "backend.listen", "loopback"},
		{"same address", `127.0.0.1:7002`, `127.0.0.1:7001`, "operator.listen", "already"},
		{"url with host name", `http://127.0.0.1:9000`, `http://platform:9000`, "platform.urls[0]", "numeric"},
		{"no urls", `["http://127.0.0.1:9000"]`, `[]`, "platform.urls", "empty"},
		{"duration without unit", `"fleet"`, `"lease": {"promise": 1500}, "fleet"`, "lease.promise", "with its unit"},
		{"duration with unknown unit", `"fleet"`, `"lease": {"promise": "1500 msec"}, "fleet"`, "lease.promise", "with its unit"},
		{"duration out of range", `"fleet"`, `"lease": {"promise": "2h"}, "fleet"`, "lease.promise", "100ms to 1m"},
		{"renew too long", `"fleet"`, `"lease": {"renew": "850ms"}, "fleet"`, "lease.renew", "half"},
		{"tick too long", `"fleet"`, `"lease": {"tick": "700ms"}, "fleet"`, "lease.tick", "lease.renew"},
		{"even witnesses", `"fleet"`, `"lease": {"witnesses": 4}, "fleet"`, "lease.witnesses", "odd"},
		{"fraction for an integer", `"fleet"`, `"lease": {"witnesses": 3.5}, "fleet"`, "lease.witnesses", "whole number"},
		{"unknown log level", `"fleet"`, `"log": {"level": "loud"}, "fleet"`, "log.level", "one of"},
		{"number instead of object", `{"listen": "127.0.0.1:7003"}`, `7`, "backend", "expected an object"},
		{"not JSON", `"fleet"`, `fleet`, "", "line 2"},
		{"trailing data", `"fleet"`, `}{"fleet"`, "", "not JSON"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(validFile, tc.from, tc.to, 1)))
			var e *Error
			if !errors.As(err, &e) {
				t.Fatalf("error = %v", err)
			}
			for _, p := range e.Problems {
				if p.Path == tc.path && strings.Contains(p.Message, tc.message) {
					return
				}
			}
			t.Errorf("no problem at %q with %q in:\n%v", tc.path, tc.message, err)
		})
	}
}

func TestParseReportsAllProblems(t *testing.T) {
	_, err := Parse([]byte(`{"colour": 1, "lease": {"promise": 3}}`))
	for _, want := range []string{"colour: ", "lease.promise: ", "zone: missing", "platform.urls: missing", "peer.listen: missing"} {
		if !strings.Contains(fmt.Sprint(err), want) {
			t.Errorf("%q is not in:\n%v", want, err)
		}
	}
}

func TestAllowRemote(t *testing.T) {
	in := strings.Replace(validFile, `"127.0.0.1:7002"`, `"10.0.0.1:7002", "allow_remote": true`, 1)
	if _, err := Parse([]byte(in)); err != nil {
		t.Error(err)
	}
}

// TestDocsMatchStructs checks that docs/SETTINGS.md has exactly one row for each
// field, with its path, type and default.
func TestDocsMatchStructs(t *testing.T) {
	b, err := os.ReadFile("../../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	rows := map[string]string{}
	for _, line := range strings.Split(string(b), "\n") {
		if cells := strings.Split(line, "|"); strings.HasPrefix(line, "| `") && len(cells) >= 6 {
			rows[strings.Trim(cells[1], " `")] = strings.TrimSpace(cells[2]) + " | " + strings.TrimSpace(cells[3])
		}
	}
	walkFields("", reflect.TypeFor[Settings](), func(path string, f reflect.StructField) {
		want := docType(f) + " | " + docDefault(f)
		if rows[path] != want {
			t.Errorf("%s: docs/SETTINGS.md has %q, the struct has %q", path, rows[path], want)
		}
		delete(rows, path)
	})
	for path := range rows {
		t.Errorf("%s: docs/SETTINGS.md describes a field that does not exist", path)
	}
}

func walkFields(path string, typ reflect.Type, fn func(string, reflect.StructField)) {
	for i := range typ.NumField() {
		f := typ.Field(i)
		if f.Type.Kind() == reflect.Struct {
			walkFields(join(path, jsonName(f)), f.Type, fn)
			continue
		}
		fn(join(path, jsonName(f)), f)
	}
}

func docType(f reflect.StructField) string {
	switch {
	case f.Type == durationType:
		return "duration"
	case f.Type.Kind() == reflect.Slice:
		return "list of URLs"
	case f.Type.Kind() == reflect.Bool:
		return "boolean"
	case f.Type.Kind() == reflect.String:
		return map[string]string{checkName: "name", checkListen: "address", checkAdvertise: "address", checkIP: "IP", checkLevel: "level"}[f.Tag.Get("check")]
	}
	return "integer"
}

func docDefault(f reflect.StructField) string {
	text, ok := f.Tag.Lookup("default")
	switch {
	case !ok:
		return "required"
	case text == "":
		return "none"
	case f.Type == durationType:
		mustParseDuration(text)
	}
	if f.Type.Kind() == reflect.Int || f.Type.Kind() == reflect.Int64 && f.Type != durationType {
		var n json.Number = json.Number(text)
		if _, err := n.Int64(); err != nil {
			panic(err)
		}
	}
	return "`" + text + "`"
}

// FuzzParse checks that no input makes Parse panic and that every error has a
// text.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validFile))
	for _, seed := range []string{"", "null", "[]", "{", `{"lease": {"promise": "1e9h"}}`, `{"platform": {"urls": [null]}}`, `{"zone": "\ud800"}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, file []byte) {
		s, err := Parse(file)
		if (s == nil) == (err == nil) {
			t.Fatalf("settings %v with error %v", s, err)
		}
		if err != nil && err.Error() == "" {
			t.Fatal("the error has no text")
		}
	})
}
