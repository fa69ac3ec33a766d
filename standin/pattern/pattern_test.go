package pattern

import (
	"bytes"
	"io"
	"testing"
)

func TestCheck(t *testing.T) {
	const id, length = "r-1", 100_003
	whole := Head{ClientID: id, Length: length}.Line()
	body, err := io.ReadAll(NewReader(id, length))
	if err != nil {
		t.Fatal(err)
	}
	whole = append(whole, body...)
	flipped := bytes.Clone(whole)
	flipped[70_000] ^= 1
	cases := map[string]struct {
		answer []byte
		id     string
		ok     bool
	}{
		"complete":                  {whole, id, true},
		"empty":                     {nil, id, false},
		"last byte missing":         {whole[:len(whole)-1], id, false},
		"truncated head":            {whole[:10], id, false},
		"one byte too long":         {append(bytes.Clone(whole), 0), id, false},
		"one bit flipped":           {flipped, id, false},
		"answer to another request": {whole, "r-2", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Check(bytes.NewReader(c.answer), c.id, length)
			if (err == nil) != c.ok {
				t.Fatalf("Check: %v", err)
			}
		})
	}
}
