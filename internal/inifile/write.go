package inifile

import (
	"bufio"
	"fmt"
	"io"
	"reflect"
	"strings"
)

// WriteDefault writes a file with every section and key of the struct that
// target points to, each with its documentation, unit, limits and default.
// Required keys are left empty; all other lines are valid.
func WriteDefault(w io.Writer, target any) error {
	return write(w, target, func(k key) string { return k.defaultValue })
}

// Write writes the current values of the struct, documented in the same way.
func Write(w io.Writer, target any) error {
	return write(w, target, func(k key) string { return format(k.value) })
}

func write(w io.Writer, target any, valueOf func(key) string) error {
	out := bufio.NewWriter(w)
	for i, s := range sectionsOf(target) {
		if i > 0 {
			fmt.Fprintln(out)
		}
		writeSection(out, s, valueOf)
	}
	return out.Flush()
}

func writeSection(out io.Writer, s section, valueOf func(key) string) {
	if !s.repeated {
		writeKeys(out, s.name, s, s.value, valueOf)
		return
	}
	if s.value.Len() == 0 {
		example := reflect.New(s.value.Type().Elem()).Elem()
		writeKeys(out, s.name+".example", s, example, func(k key) string { return k.defaultValue })
		return
	}
	for i := range s.value.Len() {
		element := s.value.Index(i)
		writeKeys(out, s.name+"."+sectionNameOf(element), s, element, valueOf)
	}
}

func writeKeys(out io.Writer, name string, s section, structure reflect.Value, valueOf func(key) string) {
	if s.doc != "" {
		fmt.Fprintf(out, "# %s\n", s.doc)
	}
	fmt.Fprintf(out, "[%s]\n", name)
	for _, k := range keysOf(structure) {
		if comment := k.comment(); comment != "" {
			fmt.Fprintf(out, "# %s\n", comment)
		}
		fmt.Fprintln(out, strings.TrimRight(k.name+" = "+valueOf(k), " "))
	}
}

// comment describes a key on one line.
func (k key) comment() string {
	var parts []string
	if k.doc != "" {
		parts = append(parts, k.doc)
	}
	if k.unit != "" {
		parts = append(parts, "Unit: "+k.unit+".")
	}
	if len(k.oneOf) > 0 {
		parts = append(parts, "One of: "+strings.Join(k.oneOf, ", ")+".")
	}
	if k.min != "" {
		parts = append(parts, "Minimum: "+k.min+".")
	}
	if k.max != "" {
		parts = append(parts, "Maximum: "+k.max+".")
	}
	if k.required {
		parts = append(parts, "Required.")
	}
	return strings.Join(parts, " ")
}

func sectionNameOf(structure reflect.Value) string {
	for i := range structure.NumField() {
		if structure.Type().Field(i).Tag.Get("name") == "section" {
			return structure.Field(i).String()
		}
	}
	return ""
}
