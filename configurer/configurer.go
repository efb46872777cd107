// Package configurer reads the settings of a daemon from an INI file.
//
// Each section of the file is a struct with typed fields. Durations and sizes need a
// unit. Load checks the complete file and reports all problems together, each with
// file and line: unknown sections and keys, malformed values, values out of range or
// in contradiction to each other, and unusable certificate and key files.
//
//	settings, err := configurer.Load("laburnumline.ini")
//	var problems configurer.Problems
//	if errors.As(err, &problems) {
//		for _, p := range problems {
//			fmt.Println(p) // laburnumline.ini:12: [budgets] flush = "5": ...
//		}
//	}
//
// laburnumline.example.ini at the root of the repository describes every setting.
package configurer

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/jessevdk/go-flags"
)

// Load reads and checks a settings file. The error of a file that is readable but
// invalid is of type Problems.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	settings, f, err := parse(path, string(text))
	if err != nil {
		return nil, err
	}
	check(settings, f)
	if len(f.problems) > 0 {
		return nil, f.problems.sorted()
	}
	return settings, nil
}

// parse decodes the text. The INI parser stops at its first error. To find all errors,
// parse records the error, blanks the lines that caused it and parses the text again.
func parse(path, text string) (*Settings, *settingsFile, error) {
	f := newSettingsFile(path, text)
	for {
		settings, err := f.decode()
		if err == nil {
			return settings, f, nil
		}
		if !f.reportParserError(err) {
			return nil, nil, fmt.Errorf("parse settings %s: %w", path, err)
		}
	}
}

// decode parses the remaining lines into new settings, which have their default values
// otherwise.
func (f *settingsFile) decode() (*Settings, error) {
	settings := &Settings{}
	parser := flags.NewParser(settings, flags.None)
	if _, err := parser.ParseArgs(nil); err != nil {
		return nil, fmt.Errorf("set defaults: %w", err)
	}
	text := strings.Join(f.lines, "\n")
	return settings, flags.NewIniParser(parser).Parse(strings.NewReader(text))
}

// reportParserError records an error of the INI parser and blanks the lines that caused
// it. It returns false if no line caused the error.
func (f *settingsFile) reportParserError(err error) bool {
	var syntax *flags.IniError
	if errors.As(err, &syntax) {
		return f.reportLine(int(syntax.LineNumber), syntax.Message)
	}
	var unknown *flags.Error
	if errors.As(err, &unknown) && unknown.Type == flags.ErrUnknownGroup {
		return f.reportUnknownSections()
	}
	return false
}
