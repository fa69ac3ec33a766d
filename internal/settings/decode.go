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

// decode decodes a JSON file into s field by field, so that it can continue after
// an invalid field and report the path of each.
func decode(problems *problemList, b []byte, s *Settings) {
	if len(b) > maxFileBytes {
		problems.add("", "the file has %d bytes; expected at most %d", len(b), maxFileBytes)
		return
	}
	var raw json.RawMessage
	if err := json.Unmarshal(b, &raw); err != nil {
		problems.add("", "not JSON: %s", describeSyntax(b, err))
		return
	}
	decodeObject(problems, "", raw, reflect.ValueOf(s).Elem())
}

// describeSyntax adds the line and column to a JSON syntax error.
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

// member is one name and value of a JSON object, as RFC 8259 calls it.
type member struct {
	name  string
	value json.RawMessage
}

// members splits a JSON object into its members, including repeated names.
func members(raw json.RawMessage) ([]member, error) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	if t, err := dec.Token(); err != nil || t != json.Delim('{') {
		return nil, fmt.Errorf("expected an object, got %s", truncate(raw))
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

// decodeObject decodes one JSON object into one struct.
func decodeObject(problems *problemList, path string, raw json.RawMessage, v reflect.Value) {
	parsed, err := members(raw)
	if err != nil {
		problems.add(path, "%s", err)
		return
	}
	fields := fieldIndex(v.Type())
	seen := map[string]bool{}
	for _, m := range parsed {
		fieldPath := join(path, m.name)
		i, known := fields[m.name]
		switch {
		case !known:
			problems.add(fieldPath, "unknown field; expected one of %s", strings.Join(fieldNames(v.Type()), ", "))
		case seen[m.name]:
			problems.add(fieldPath, "given twice; expected once")
		default:
			decodeField(problems, fieldPath, m.value, v.Type().Field(i), v.Field(i))
		}
		seen[m.name] = true
	}
	for i := range v.NumField() {
		f := v.Type().Field(i)
		if !seen[jsonName(f)] {
			setDefault(problems, join(path, jsonName(f)), f, v.Field(i))
		}
	}
}

// setDefault sets the default of a field that is missing from the file.
func setDefault(problems *problemList, path string, f reflect.StructField, v reflect.Value) {
	if v.Kind() == reflect.Struct {
		decodeObject(problems, path, json.RawMessage("{}"), v)
		return
	}
	text, ok := f.Tag.Lookup("default")
	if !ok {
		problems.add(path, "missing; expected %s", expectedValue(f))
		return
	}
	setFromText(v, text)
}

// setFromText sets a field from the text of its default tag. Parse errors are
// ignored here, because TestDocsMatchStructs parses every default tag.
func setFromText(v reflect.Value, text string) {
	switch {
	case v.Type() == durationType:
		v.SetInt(int64(mustParseDuration(text)))
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

// decodeField decodes one value and validates it.
func decodeField(problems *problemList, path string, raw json.RawMessage, f reflect.StructField, v reflect.Value) {
	if v.Kind() == reflect.Struct {
		decodeObject(problems, path, raw, v)
		return
	}
	// encoding/json leaves the field unchanged for null, which would hide a
	// missing value.
	if string(raw) == "null" || json.Unmarshal(raw, v.Addr().Interface()) != nil {
		problems.add(path, "got %s; expected %s", truncate(raw), expectedValue(f))
		return
	}
	checkField(problems, path, f, v)
}

// fieldIndex maps the JSON names of a struct's fields to their indexes. Unlike
// encoding/json, it distinguishes upper and lower case.
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

// truncate shortens a value for an error message.
func truncate(raw []byte) string {
	const maxBytes = 60
	s := strings.Join(strings.Fields(string(raw)), " ")
	if len(s) > maxBytes {
		return s[:maxBytes] + "..."
	}
	return s
}
