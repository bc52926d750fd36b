package inifile

import (
	"fmt"
	"reflect"
	"strings"
)

// Description is the documentation of one key. Fields that don't apply are empty.
type Description struct {
	Section  string // as written in the file, without brackets
	Key      string
	Default  string
	Unit     string // the unit, or the format of the value
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
		Default:  k.defaultValue,
		Unit:     k.unitOrFormat(),
		Allowed:  k.allowed(),
		Required: k.required,
		Doc:      k.doc,
	}
}

// unitOrFormat returns the unit of a key, or the format of a value without unit.
func (k key) unitOrFormat() string {
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
