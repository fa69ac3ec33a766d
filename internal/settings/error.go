package settings

import (
	"fmt"
	"strings"
)

// Problem is one error in a settings file.
type Problem struct {
	// Path is the path of the field, for example "lease.renew", or empty if the
	// problem concerns the whole file.
	Path string `json:"path"`
	// Message describes the value found and the values expected.
	Message string `json:"message"`
}

// Error lists all problems found in a settings file.
type Error struct {
	Problems []Problem `json:"problems"`
}

// Error returns one line for each problem.
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

// problemList collects the problems found while a file is decoded.
type problemList []Problem

func (p *problemList) add(path, format string, args ...any) {
	*p = append(*p, Problem{Path: path, Message: fmt.Sprintf(format, args...)})
}
