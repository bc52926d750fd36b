package rig

import (
	"regexp"
	"strings"
)

// section matches a section of a template, {{#name}}..{{/name}} or {{^name}}..{{/name}}.
var section = regexp.MustCompile(`(?s)\{\{([#^])([a-z_.]+)\}\}(.*?)\{\{/([a-z_.]+)\}\}`)

// placeholder matches {{name}}.
var placeholder = regexp.MustCompile(`\{\{([a-z_.]+)\}\}`)

// render fills in the template as the platform does, as far as deploy/gate.ini needs it. A
// missing value, "" and "false" leave a section out.
func render(template string, values map[string]string) string {
	text := section.ReplaceAllStringFunc(template, func(match string) string {
		parts := section.FindStringSubmatch(match)
		value := values[parts[2]]
		present := value != "" && value != "false"
		if present != (parts[1] == "#") {
			return ""
		}
		return strings.ReplaceAll(parts[3], "{{.}}", value)
	})
	return placeholder.ReplaceAllStringFunc(text, func(match string) string {
		return values[placeholder.FindStringSubmatch(match)[1]]
	})
}
