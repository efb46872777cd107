package configurer

import (
	"fmt"
	"reflect"
	"strings"
)

// settingPath is a setting within a file.
type settingPath struct{ section, key string }

// settingsFile is a settings settingsFile of which some lines may already have been rejected.
type settingsFile struct {
	path        string
	lines       []string
	sections    []string // section of each line
	lineNumbers map[settingPath]int
	rejected    map[settingPath]bool
	problems    Problems
}

// newSettingsFile finds the sections and keys of the text and reports keys that are
// given twice.
func newSettingsFile(path, text string) *settingsFile {
	f := &settingsFile{
		path:        path,
		lines:       strings.Split(text, "\n"),
		lineNumbers: make(map[settingPath]int),
		rejected:    make(map[settingPath]bool),
	}
	section := ""
	for i, line := range f.lines {
		line = strings.TrimSpace(line)
		if name, ok := parseSectionHeader(line); ok {
			section = name
		}
		f.sections = append(f.sections, section)
		key, _, ok := parseSetting(line)
		if ok && section == "" {
			f.reportLine(i+1, "outside of a section")
		} else if ok {
			f.addSetting(settingPath{section, key}, i)
		}
	}
	return f
}

func (f *settingsFile) addSetting(p settingPath, lineIndex int) {
	firstLine, present := f.lineNumbers[p]
	if !present {
		f.lineNumbers[p] = lineIndex + 1
		return
	}
	if t, ok := fieldType(p); ok && t.Kind() != reflect.Slice {
		f.reportLine(lineIndex+1, fmt.Sprintf("already given in line %d", firstLine))
	}
}

// reportLine records a problem of one line, counted from 1, and blanks it.
func (f *settingsFile) reportLine(number int, message string) bool {
	if number < 1 || number > len(f.lines) {
		return false
	}
	line := strings.TrimSpace(f.lines[number-1])
	p := Problem{File: f.path, Line: number, Section: f.sections[number-1], Message: message}
	if key, value, ok := parseSetting(line); ok {
		p.Key, p.Value = key, value
		p.Message = addAllowed(settingPath{p.Section, key}, message)
		f.rejected[settingPath{p.Section, key}] = true
	}
	f.problems = append(f.problems, p)
	f.lines[number-1] = ""
	return true
}

// reportUnknownSections records every section that does not exist and blanks it.
func (f *settingsFile) reportUnknownSections() bool {
	found := false
	for i, line := range f.lines {
		section := f.sections[i]
		if sectionType(section) != nil {
			continue
		}
		name, isHeader := parseSectionHeader(strings.TrimSpace(line))
		if isHeader {
			found = f.reportLine(i+1, fmt.Sprintf("unknown section %q, allowed: %s", name, strings.Join(sectionNames(), ", ")))
			continue
		}
		if section != "" {
			f.lines[i] = ""
		}
	}
	return found
}

// addProblem records a problem of a setting, with its line when the file has it. A
// setting whose line was rejected has its default here and is passed over.
func (f *settingsFile) addProblem(p settingPath, value any, message string) {
	if f.rejected[p] {
		return
	}
	f.problems = append(f.problems, Problem{
		File:    f.path,
		Line:    f.lineNumbers[p],
		Section: p.section,
		Key:     p.key,
		Value:   fmt.Sprint(value),
		Message: message,
	})
}

func parseSectionHeader(line string) (string, bool) {
	if !strings.HasPrefix(line, "[") || !strings.HasSuffix(line, "]") {
		return "", false
	}
	return strings.TrimSpace(line[1 : len(line)-1]), true
}

func parseSetting(line string) (key, value string, ok bool) {
	if line == "" || strings.ContainsRune(";#[", rune(line[0])) {
		return "", "", false
	}
	key, value, ok = strings.Cut(line, "=")
	return strings.TrimSpace(key), strings.TrimSpace(value), ok
}
