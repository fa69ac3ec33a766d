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
		"whole":          {whole, id, true},
		"empty":          {nil, id, false},
		"cut by one":     {whole[:len(whole)-1], id, false},
		"cut at head":    {whole[:10], id, false},
		"one too many":   {append(bytes.Clone(whole), 0), id, false},
		"one bit wrong":  {flipped, id, false},
		"other's answer": {whole, "r-2", false},
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
