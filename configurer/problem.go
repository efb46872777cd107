package configurer

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is one error in a settings file.
type Problem struct {
	File string
	// Line is the line number, counted from 1. Zero means that the file does not have the
	// setting.
	Line    int
	Section string
	Key     string
	Value   string
	// Message says what is wrong or what is allowed.
	Message string
}

// Error returns the file, the line, the setting, its value and the message.
func (p Problem) Error() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	b.WriteString(": ")
	if p.Section != "" {
		fmt.Fprintf(&b, "[%s] ", p.Section)
	}
	if p.Key != "" {
		fmt.Fprintf(&b, "%s = %q: ", p.Key, p.Value)
	}
	b.WriteString(p.Message)
	return b.String()
}

// Problems is the error of an invalid settings file. It holds all problems in the file.
type Problems []Problem

// Error returns one line per problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// sorted sorts the problems by line, those without a line last, and returns them.
func (p Problems) sorted() Problems {
	slices.SortStableFunc(p, func(a, b Problem) int {
		return cmp.Or(
			cmp.Compare(boolToInt(a.Line == 0), boolToInt(b.Line == 0)),
			cmp.Compare(a.Line, b.Line),
		)
	})
	return p
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// ruleError is the error of a malformed value. It says which values the type allows.
type ruleError string

func (e ruleError) Error() string { return "allowed: " + string(e) }

func newRuleError(rule string) error { return ruleError(rule) }
