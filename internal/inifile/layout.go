package inifile

import (
	"fmt"
	"reflect"
	"strings"
)

// repeatedSuffix ends the tag of a section that may be repeated.
const repeatedSuffix = ".*"

// section is one section of a bound struct.
type section struct {
	name     string // without repeatedSuffix
	doc      string
	repeated bool
	value    reflect.Value // a struct, or a slice of structs when repeated
}

// key is one key of a section.
type key struct {
	name         string
	doc          string
	unit         string
	defaultValue string // the tag default
	min, max     string
	oneOf        []string
	required     bool
	value        reflect.Value
}

// sectionsOf lists the sections of the struct that target points to.
func sectionsOf(target any) []section {
	pointer := reflect.ValueOf(target)
	if pointer.Kind() != reflect.Pointer || pointer.Elem().Kind() != reflect.Struct {
		panic(fmt.Sprintf("inifile: %T is not a pointer to a struct", target))
	}
	return sectionsIn(pointer.Elem())
}

func sectionsIn(structure reflect.Value) []section {
	var sections []section
	for i := range structure.NumField() {
		field := structure.Type().Field(i)
		name, tagged := field.Tag.Lookup("section")
		switch {
		case tagged:
			sections = append(sections, newSection(name, field, structure.Field(i)))
		case field.Anonymous && field.Type.Kind() == reflect.Struct:
			sections = append(sections, sectionsIn(structure.Field(i))...)
		}
	}
	return sections
}

func newSection(name string, field reflect.StructField, value reflect.Value) section {
	base, repeated := strings.CutSuffix(name, repeatedSuffix)
	if repeated != (field.Type.Kind() == reflect.Slice) {
		panic(fmt.Sprintf("inifile: section %s needs a slice exactly when its name ends in %s", name, repeatedSuffix))
	}
	return section{name: base, doc: field.Tag.Get("doc"), repeated: repeated, value: value}
}

// keysOf lists the keys of one section's struct, including those of embedded
// structs.
func keysOf(structure reflect.Value) []key {
	var keys []key
	for i := range structure.NumField() {
		field := structure.Type().Field(i)
		name, tagged := field.Tag.Lookup("key")
		switch {
		case tagged:
			keys = append(keys, newKey(name, field.Tag, structure.Field(i)))
		case field.Anonymous && field.Type.Kind() == reflect.Struct:
			keys = append(keys, keysOf(structure.Field(i))...)
		}
	}
	return keys
}

func newKey(name string, tag reflect.StructTag, value reflect.Value) key {
	k := key{
		name:         name,
		doc:          tag.Get("doc"),
		unit:         tag.Get("unit"),
		defaultValue: tag.Get("default"),
		min:          tag.Get("min"),
		max:          tag.Get("max"),
		required:     tag.Get("required") == "true",
		value:        value,
	}
	if choices := tag.Get("oneof"); choices != "" {
		k.oneOf = strings.Split(choices, "|")
	}
	return k
}

// setSectionName stores the name of a repeated section in its field with the
// tag name:"section".
func setSectionName(structure reflect.Value, name string) {
	for i := range structure.NumField() {
		if structure.Type().Field(i).Tag.Get("name") == "section" {
			structure.Field(i).SetString(name)
		}
	}
}
