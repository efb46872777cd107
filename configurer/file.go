package configurer

import (
	"fmt"
	"reflect"
	"strings"
)

// settingPath identifies a setting by its section and key.
type settingPath struct{ section, key string }

// settingsFile is the text of a settings file and the problems found in it. Lines with
// a problem are blanked, so that the other lines can be parsed.
type settingsFile struct {
	path        string
	lines       []string
	sections    []string            // section of each line
	lineNumbers map[settingPath]int // counted from 1
	rejected    map[settingPath]bool
	problems    Problems
}

// newSettingsFile finds the sections and keys in the text. It records a problem for each
// key outside of a section and each key that is given twice.
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

// reportLine records a problem of a line and blanks the line. Lines are counted from 1.
// It returns false if there is no such line.
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

// reportUnknownSections records a problem for each unknown section and blanks its lines.
// It returns false if there is none.
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

// addProblem records a problem of a setting, with its line if the file has the setting.
// It ignores a setting whose line was rejected, because the setting then has its default
// value and not that of the file.
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

// parseSectionHeader returns the name of the section that a line opens.
func parseSectionHeader(line string) (string, bool) {
	if !strings.HasPrefix(line, "[") || !strings.HasSuffix(line, "]") {
		return "", false
	}
	return strings.TrimSpace(line[1 : len(line)-1]), true
}

// parseSetting returns the key and the value of a line. Comments have none.
func parseSetting(line string) (key, value string, ok bool) {
	if line == "" || strings.ContainsRune(";#[", rune(line[0])) {
		return "", "", false
	}
	key, value, ok = strings.Cut(line, "=")
	return strings.TrimSpace(key), strings.TrimSpace(value), ok
}
