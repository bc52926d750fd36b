package main

import (
	"fmt"
	"regexp"
	"strings"
)

// fields are the settings of a machine, by the names of the users' pages.
type fields map[string]any

// tag matches one tag of a template: a value, a section's begin or a section's end.
var tag = regexp.MustCompile(`\{\{([#^/]?)([^}]*)\}\}`)

// render fills in a template as DEPLOY.md says, as far as deploy/gate.ini needs it: values and
// sections over a single value.
func render(template string, in fields, current any) string {
	var out strings.Builder
	for {
		at := tag.FindStringSubmatchIndex(template)
		if at == nil {
			out.WriteString(template)
			return out.String()
		}
		out.WriteString(template[:at[0]])
		kind, name := template[at[2]:at[3]], template[at[4]:at[5]]
		rest := template[at[1]:]
		if kind == "" {
			out.WriteString(text(lookup(in, name, current)))
			template = rest
			continue
		}
		end := "{{/" + name + "}}"
		inner, after, _ := strings.Cut(rest, end)
		value := lookup(in, name, current)
		switch present := value != nil && value != false; {
		case kind == "#" && present:
			out.WriteString(render(inner, in, value))
		case kind == "^" && !present:
			out.WriteString(render(inner, in, current))
		}
		template = after
	}
}

func lookup(in fields, name string, current any) any {
	if name == "." {
		return current
	}
	value := any(in)
	for _, part := range strings.Split(name, ".") {
		table, ok := value.(fields)
		if !ok {
			return nil
		}
		value = table[part]
	}
	return value
}

func text(value any) string {
	switch known := value.(type) {
	case nil:
		return ""
	case []string:
		return strings.Join(known, ",")
	}
	return fmt.Sprint(value)
}
