package upstream

import (
	"net/http"
	"testing"
)

// TestNotice checks what is read from the headers in which a server states its limit and
// that it leaves.
func TestNotice(t *testing.T) {
	c := NewClient("127.0.0.1:1", Headers{Limit: "Limit", Leaving: "Leaving"})
	for _, tc := range []struct {
		name           string
		limit, leaving string
		want           Notice
		malformed      bool
	}{
		{name: "nothing stated"},
		{name: "limit", limit: "28.9", want: Notice{Limited: true, Limit: 28.9}},
		{name: "limit of nothing", limit: "0", want: Notice{Limited: true}},
		{name: "leaving", leaving: "1", want: Notice{Leaving: true}},
		{name: "not leaving", leaving: "0"},
		{name: "both", limit: "3", leaving: "1", want: Notice{Limited: true, Limit: 3, Leaving: true}},
		{name: "negative limit", limit: "-1", malformed: true},
		{name: "infinite limit", limit: "+Inf", malformed: true},
		{name: "limit that is not a number", limit: "NaN", malformed: true},
		{name: "text beside leaving", limit: "many", leaving: "1", want: Notice{Leaving: true}, malformed: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := http.Header{}
			for name, text := range map[string]string{"Limit": tc.limit, "Leaving": tc.leaving} {
				if text != "" {
					h.Set(name, text)
				}
			}
			got, err := c.notice(h)
			if got != tc.want || ErrMalformedNotice.Has(err) != tc.malformed {
				t.Errorf("got %+v, %v; expected %+v", got, err, tc.want)
			}
		})
	}
}
