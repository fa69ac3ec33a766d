package result

import (
	"fmt"
	"strings"
)

// Markdown returns the tables of docs/RESULT-CODES.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("| code | name | kind | HTTP status | Retry-After | meaning |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- |\n")
	for _, i := range Table {
		retry := "no"
		if i.Retryable {
			retry = "yes"
		}
		fmt.Fprintf(&b, "| %d | %s | %s | %d | %s | %s |\n", i.Code, i.Name, i.Kind, i.Status, retry, i.Meaning)
	}
	b.WriteString("\n## Exit codes of the command line\n\n")
	b.WriteString("| code | name | meaning |\n| --- | --- | --- |\n")
	for _, e := range ExitTable {
		fmt.Fprintf(&b, "| %d | %s | %s |\n", e.Code, e.Name, e.Meaning)
	}
	return b.String()
}
