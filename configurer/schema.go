package configurer

import (
	"reflect"
	"strings"
	"time"
)

const (
	sectionTag = "group"
	keyTag     = "ini-name"
)

// allowedByType describes the values of the basic types, which the INI parser decodes.
var allowedByType = map[reflect.Type]string{
	reflect.TypeFor[time.Duration](): "a duration with a unit, such as 500ms, 5s or 2h",
	reflect.TypeFor[float64]():       "a number",
	reflect.TypeFor[int]():           "a whole number",
	reflect.TypeFor[int64]():         "a whole number",
}

// sectionNames returns the names of the sections in the order of Settings.
func sectionNames() []string {
	var names []string
	for _, f := range reflect.VisibleFields(reflect.TypeFor[Settings]()) {
		names = append(names, f.Tag.Get(sectionTag))
	}
	return names
}

// sectionType returns the struct type of a section, or nil for an unknown one.
func sectionType(name string) reflect.Type {
	for _, f := range reflect.VisibleFields(reflect.TypeFor[Settings]()) {
		if f.Tag.Get(sectionTag) == name {
			return f.Type
		}
	}
	return nil
}

// keyNames returns the keys of a section.
func keyNames(section reflect.Type) []string {
	var names []string
	for _, f := range reflect.VisibleFields(section) {
		names = append(names, f.Tag.Get(keyTag))
	}
	return names
}

// fieldType returns the type of a setting. It returns false for an unknown one.
func fieldType(p settingPath) (reflect.Type, bool) {
	section := sectionType(p.section)
	if section == nil {
		return nil, false
	}
	for _, f := range reflect.VisibleFields(section) {
		if f.Tag.Get(keyTag) == p.key {
			return f.Type, true
		}
	}
	return nil, false
}

// addAllowed adds the allowed values to a message of the INI parser. For an unknown key it
// returns the keys of the section instead.
func addAllowed(p settingPath, message string) string {
	section := sectionType(p.section)
	if section == nil {
		return message
	}
	t, ok := fieldType(p)
	if !ok {
		return "unknown key, allowed: " + strings.Join(keyNames(section), ", ")
	}
	for basicType, rule := range allowedByType {
		if t == basicType || t.Kind() == basicType.Kind() && basicType.PkgPath() == "" && t.NumMethod() == 0 {
			return message + ", allowed: " + rule
		}
	}
	return message
}
