package settings

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"
)

// ParseINI parses a tree in INI form: one section per node, named by its path,
// with the node's own values. Ancestors of a node need no section. The error
// lists all mistakes.
func ParseINI(text []byte) (*Tree, error) {
	file, err := ini.LoadSources(ini.LoadOptions{
		AllowShadows:               true, // to detect duplicate keys
		AllowDuplicateShadowValues: true,
		AllowNonUniqueSections:     true, // to detect duplicate sections
		KeyValueDelimiters:         "=",
	}, text)
	if err != nil {
		return nil, errors.Wrap(err, "parsing the settings")
	}
	tree := NewTree()
	var mistakes []Mistake
	seen := make(map[Path]bool)
	for _, section := range file.Sections() {
		path := Path(section.Name())
		if section.Name() == ini.DefaultSection {
			mistakes = append(mistakes, keysOutsideSections(section)...)
			continue
		}
		if seen[path] {
			mistakes = append(mistakes, Mistake{Path: path, Problem: "the section is given twice"})
			continue
		}
		seen[path] = true
		mistakes = append(mistakes, tree.addSection(path, section)...)
	}
	if err := asError(append(mistakes, tree.mistakes()...)); err != nil {
		return nil, err
	}
	return tree, nil
}

func keysOutsideSections(section *ini.Section) []Mistake {
	var mistakes []Mistake
	for _, key := range section.Keys() {
		mistakes = append(mistakes, Mistake{
			Key: KeyName(key.Name()), Value: key.Value(),
			Problem: "the value stands outside of a section",
			Allowed: "[/] for the whole fleet",
		})
	}
	return mistakes
}

// addSection adds the node of a section to a tree that is being parsed.
func (t *Tree) addSection(path Path, section *ini.Section) []Mistake {
	if !path.Valid() {
		return []Mistake{{Path: path, Problem: "not a path", Allowed: segmentRule}}
	}
	var mistakes []Mistake
	var settings []Setting
	for _, key := range section.Keys() {
		values := key.ValueWithShadows()
		if len(values) > 1 {
			mistakes = append(mistakes, Mistake{
				Path: path, Key: KeyName(key.Name()), Value: strings.Join(values, " and "),
				Problem: "the key is given twice",
			})
		}
		settings = append(settings, Setting{Key: KeyName(key.Name()), Value: key.Value()})
	}
	t.ensureParents(path)
	t.nodes[path] = newNode(settings)
	return mistakes
}

// FormatINI returns the INI form of a tree. Equal trees give equal texts.
func FormatINI(tree *Tree) []byte {
	var text strings.Builder
	for i, path := range tree.Paths() {
		if i > 0 {
			text.WriteString("\n")
		}
		fmt.Fprintf(&text, "[%s]\n", path)
		for _, setting := range tree.nodes[path].settings {
			fmt.Fprintf(&text, "%s = %s\n", setting.Key, setting.Value)
		}
	}
	return []byte(text.String())
}
