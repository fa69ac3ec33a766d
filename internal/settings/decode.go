package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"

	"fulmarhinge/internal/contract"
)

var durationType = reflect.TypeFor[contract.Duration]()

// maxFileBytes bounds the settings file.
const maxFileBytes = 1 << 20

// decode reads a JSON file into s, field by field, so that it can go on after
// a fault and name the path of each.
func decode(found *problems, b []byte, s *Settings) {
	if len(b) > maxFileBytes {
		found.add("", "the file has %d bytes; expected at most %d", len(b), maxFileBytes)
		return
	}
	var whole json.RawMessage
	if err := json.Unmarshal(b, &whole); err != nil {
		found.add("", "not JSON: %s", describeSyntax(b, err))
		return
	}
	decodeObject(found, "", whole, reflect.ValueOf(s).Elem())
}

// describeSyntax adds line and column to a syntax error.
func describeSyntax(b []byte, err error) string {
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		return err.Error()
	}
	before := b[:min(int(syntax.Offset), len(b))]
	line := 1 + bytes.Count(before, []byte("\n"))
	column := len(before) - (bytes.LastIndexByte(before, '\n') + 1)
	return fmt.Sprintf("line %d, column %d: %s", line, column, err)
}

// member is one name and value of a JSON object.
type member struct {
	name  string
	value json.RawMessage
}

// members splits a JSON object, keeping names that stand twice.
func members(raw json.RawMessage) ([]member, error) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	if t, err := dec.Token(); err != nil || t != json.Delim('{') {
		return nil, fmt.Errorf("expected an object, got %s", clip(raw))
	}
	var list []member
	for dec.More() {
		t, err := dec.Token()
		if err != nil {
			return nil, err
		}
		name, _ := t.(string)
		m := member{name: name}
		if err := dec.Decode(&m.value); err != nil && err != io.EOF {
			return nil, err
		}
		list = append(list, m)
	}
	return list, nil
}

// decodeObject fills one struct from one JSON object.
func decodeObject(found *problems, path string, raw json.RawMessage, v reflect.Value) {
	list, err := members(raw)
	if err != nil {
		found.add(path, "%s", err)
		return
	}
	fields := fieldIndex(v.Type())
	seen := map[string]bool{}
	for _, m := range list {
		at := join(path, m.name)
		i, known := fields[m.name]
		switch {
		case !known:
			found.add(at, "unknown field; expected one of %s", strings.Join(fieldNames(v.Type()), ", "))
		case seen[m.name]:
			found.add(at, "stands twice; expected once")
		default:
			decodeField(found, at, m.value, v.Type().Field(i), v.Field(i))
		}
		seen[m.name] = true
	}
	for i := range v.NumField() {
		f := v.Type().Field(i)
		if !seen[jsonName(f)] {
			fillAbsent(found, join(path, jsonName(f)), f, v.Field(i))
		}
	}
}

// fillAbsent sets the default of a field that the file does not have.
func fillAbsent(found *problems, path string, f reflect.StructField, v reflect.Value) {
	if v.Kind() == reflect.Struct {
		decodeObject(found, path, json.RawMessage("{}"), v)
		return
	}
	text, ok := f.Tag.Lookup("default")
	if !ok {
		found.add(path, "missing; expected %s", expectation(f))
		return
	}
	setText(v, text)
}

// setText sets a field from the text of its default tag. The test of the
// documentation reads every default, so a bad tag does not get past it.
func setText(v reflect.Value, text string) {
	switch {
	case v.Type() == durationType:
		v.SetInt(int64(mustDuration(text)))
	case v.Kind() == reflect.Bool:
		b, _ := strconv.ParseBool(text)
		v.SetBool(b)
	case v.CanInt():
		n, _ := strconv.ParseInt(text, 10, 64)
		v.SetInt(n)
	default:
		v.SetString(text)
	}
}

// decodeField reads one value and checks it.
func decodeField(found *problems, path string, raw json.RawMessage, f reflect.StructField, v reflect.Value) {
	if v.Kind() == reflect.Struct {
		decodeObject(found, path, raw, v)
		return
	}
	// encoding/json takes null for "leave as it is", which would hide a
	// missing value.
	if string(raw) == "null" || json.Unmarshal(raw, v.Addr().Interface()) != nil {
		found.add(path, "got %s; expected %s", clip(raw), expectation(f))
		return
	}
	checkField(found, path, f, v)
}

// fieldIndex maps the JSON names of a struct to its fields. Names are compared
// exactly, unlike in encoding/json.
func fieldIndex(t reflect.Type) map[string]int {
	m := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		m[jsonName(t.Field(i))] = i
	}
	return m
}

func fieldNames(t reflect.Type) []string {
	names := make([]string, t.NumField())
	for i := range names {
		names[i] = jsonName(t.Field(i))
	}
	return names
}

func jsonName(f reflect.StructField) string { return f.Tag.Get("json") }

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// clip shortens a value for a message.
func clip(raw []byte) string {
	const most = 60
	s := strings.Join(strings.Fields(string(raw)), " ")
	if len(s) > most {
		return s[:most] + "..."
	}
	return s
}
