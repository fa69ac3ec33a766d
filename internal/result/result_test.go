package result

import (
	"os"
	"strings"
	"testing"
)

const docsPath = "../../docs/RESULT-CODES.md"

const docsIntro = `# Result codes

Every answer of a node carries ` + "`Fulmarhinge-Code`" + ` and ` + "`Fulmarhinge-Result`" + `. The result is
one of three kinds: *answered* (the backend server's whole answer), *not-run* (it is safe
to send the request again) and *unknown* (the request may have run). Refusals carry a JSON
body with ` + "`code`, `result`, `message` and `retry_after_ms`" + `. An answer that is cut after its
start reaches the caller as a broken connection, never as a short success.

This page is made from the table in ` + "`internal/result`" + `; ` + "`UPDATE_DOCS=1 go test ./internal/result`" + `
writes it.

`

func TestDocsMatchTable(t *testing.T) {
	want := docsIntro + Markdown()
	if os.Getenv("UPDATE_DOCS") != "" {
		if err := os.WriteFile(docsPath, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(docsPath)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != want {
		t.Fatal("docs/RESULT-CODES.md differs from the table; run UPDATE_DOCS=1 go test ./internal/result")
	}
}

func TestTable(t *testing.T) {
	last := Code(0)
	names := map[string]bool{}
	for _, info := range Table {
		if info.Code <= last {
			t.Errorf("%d is out of order or listed twice", info.Code)
		}
		last = info.Code
		if int(info.Code)/1000 != int(info.Kind) {
			t.Errorf("%d: kind %s does not match its range", info.Code, info.Kind)
		}
		if names[info.Name] || info.Name == "" || info.Status == 0 || !strings.HasSuffix(info.Meaning, ".") {
			t.Errorf("%d: incomplete or repeated entry %+v", info.Code, info)
		}
		names[info.Name] = true
		if info.Retryable && info.Kind != NotRun {
			t.Errorf("%d: only codes of kind not-run may be retryable", info.Code)
		}
	}
	for i, e := range ExitTable {
		if int(e.Code) != i {
			t.Errorf("exit code %d is at index %d of ExitTable", e.Code, i)
		}
	}
}

func TestLookupOfUnlistedCode(t *testing.T) {
	for _, c := range []Code{0, 1, 999, 1001, 3999, 9000} {
		if Lookup(c).Kind != Unknown {
			t.Errorf("%d has kind %s, expected unknown", c, Lookup(c).Kind)
		}
	}
	if Lookup(2999).Kind != NotRun {
		t.Error("2999 does not have kind not-run")
	}
}
