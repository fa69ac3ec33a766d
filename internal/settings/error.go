package settings

import (
	"fmt"
	"strings"
)

// Problem is one fault of a settings file.
type Problem struct {
	// Path names the field, for example "lease.renew"; empty for the whole file.
	Path string `json:"path"`
	// Message says what was found and what was expected.
	Message string `json:"message"`
}

// Error lists every fault that was found in a settings file.
type Error struct {
	Problems []Problem `json:"problems"`
}

// Error returns one line for each fault.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.Message
		if p.Path != "" {
			lines[i] = p.Path + ": " + p.Message
		}
	}
	return strings.Join(lines, "\n")
}

// problems collects faults while a file is read.
type problems []Problem

func (p *problems) add(path, format string, args ...any) {
	*p = append(*p, Problem{Path: path, Message: fmt.Sprintf(format, args...)})
}
