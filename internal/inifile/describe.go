package inifile

import (
	"fmt"
	"reflect"
	"strings"
)

// Description tells of one key what a document says about it. Texts that do
// not apply are empty.
type Description struct {
	Section  string // as it stands in the file, without brackets
	Key      string
	Default  string
	Unit     string // the unit, or the form of the value
	Allowed  string
	Required bool
	Doc      string
}

// Describe lists the keys of the struct that target points to, in the order of
// WriteDefault.
func Describe(target any) []Description {
	var all []Description
	for _, s := range sectionsOf(target) {
		name, structure := s.name, s.value
		if s.repeated {
			name += repeatedSuffix
			structure = reflect.New(s.value.Type().Elem()).Elem()
		}
		for _, k := range keysOf(structure) {
			all = append(all, k.describe(name))
		}
	}
	return all
}

func (k key) describe(section string) Description {
	return Description{
		Section:  section,
		Key:      k.name,
		Default:  k.fallback,
		Unit:     k.form(),
		Allowed:  k.allowed(),
		Required: k.required,
		Doc:      k.doc,
	}
}

// form is the unit of a key, or how a value is written that has none.
func (k key) form() string {
	switch {
	case k.unit != "":
		return k.unit
	case k.value.Type() == durationType:
		return "duration"
	case k.value.Type() == addressType:
		return "IP:PORT"
	case k.value.Type() == reflect.SliceOf(addressType):
		return "IP:PORT,..."
	default:
		return ""
	}
}

func (k key) allowed() string {
	switch {
	case len(k.oneOf) > 0:
		return "one of " + strings.Join(k.oneOf, ", ")
	case k.min != "" && k.max != "":
		return fmt.Sprintf("%s to %s", k.min, k.max)
	case k.min != "":
		return "at least " + k.min
	case k.max != "":
		return "at most " + k.max
	default:
		return ""
	}
}
