package configurer

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is one fault of a settings file.
type Problem struct {
	File string
	// Line is the line of the fault. Zero means that the setting is missing.
	Line    int
	Section string
	Key     string
	Value   string
	// Message says what is wrong, or what is allowed.
	Message string
}

// Error returns the file, the line, the setting and what is wrong with it.
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

// Problems is the error of a settings file, with every fault in it.
type Problems []Problem

// Error returns one line per problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// sorted returns the problems by line, missing settings last.
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

// ruleError is the error of a value that breaks the rule of its type.
type ruleError string

func (e ruleError) Error() string { return "allowed: " + string(e) }

func newRuleError(rule string) error { return ruleError(rule) }
