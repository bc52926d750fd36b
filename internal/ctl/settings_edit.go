package ctl

import (
	"io"
	"os"
	"slices"
	"strings"

	"github.com/bluebellchute/bluebellchute/internal/settings"
)

// settingsSet sets values at a node.
type settingsSet struct {
	commandBase
	editOptions
	Create     bool `long:"create" description:"Create the node when it does not exist."`
	Positional struct {
		Path   string   `positional-arg-name:"PATH" required:"true"`
		Values []string `positional-arg-name:"KEY=VALUE"`
	} `positional-args:"true"`
}

func (c *settingsSet) run(s *session) error {
	values, err := parseValues(c.Positional.Values)
	if err != nil {
		return err
	}
	if len(values) == 0 && !c.Create {
		return usageErrorf("specify at least one KEY=VALUE, or --create")
	}
	path := settings.Path(c.Positional.Path)
	return s.edit(c.editOptions, "", func(tree *settings.Tree) ([]settings.Change, error) {
		if c.Create && !tree.Has(path) {
			return []settings.Change{{Op: settings.OpCreate, Path: path, Settings: values}}, nil
		}
		return setChanges(path, values), nil
	})
}

func setChanges(path settings.Path, values []settings.Setting) []settings.Change {
	var changes []settings.Change
	for _, value := range values {
		changes = append(changes, settings.Change{Op: settings.OpSet, Path: path, Key: value.Key, After: value.Value})
	}
	return changes
}

// parseValues reads arguments of the form KEY=VALUE.
func parseValues(arguments []string) ([]settings.Setting, error) {
	var values []settings.Setting
	for _, argument := range arguments {
		key, value, ok := strings.Cut(argument, "=")
		if !ok || value == "" {
			return nil, usageErrorf("%q is not of the form KEY=VALUE", argument)
		}
		values = append(values, settings.Setting{Key: settings.KeyName(key), Value: value})
	}
	return values, nil
}

// settingsUnset removes values from a node, or removes the node.
type settingsUnset struct {
	commandBase
	editOptions
	Node       bool `long:"node" description:"Remove the node itself."`
	Recursive  bool `long:"recursive" description:"With --node: and all nodes below it."`
	Positional struct {
		Path string   `positional-arg-name:"PATH" required:"true"`
		Keys []string `positional-arg-name:"KEY"`
	} `positional-args:"true"`
}

func (c *settingsUnset) run(s *session) error {
	if c.Node == (len(c.Positional.Keys) > 0) {
		return usageErrorf("specify the keys to remove, or --node")
	}
	path := settings.Path(c.Positional.Path)
	return s.edit(c.editOptions, "", func(tree *settings.Tree) ([]settings.Change, error) {
		if c.Node {
			return c.removeChanges(tree, path), nil
		}
		var changes []settings.Change
		for _, key := range c.Positional.Keys {
			changes = append(changes, settings.Change{Op: settings.OpUnset, Path: path, Key: settings.KeyName(key)})
		}
		return changes, nil
	})
}

// removeChanges returns the changes that remove the node. With --recursive, they
// include all nodes below it, the deepest first.
func (c *settingsUnset) removeChanges(tree *settings.Tree, path settings.Path) []settings.Change {
	paths := []settings.Path{path}
	if c.Recursive {
		paths = slices.DeleteFunc(tree.Paths(), func(candidate settings.Path) bool { return !path.Contains(candidate) })
		slices.Reverse(paths)
	}
	var changes []settings.Change
	for _, path := range paths {
		changes = append(changes, settings.Change{Op: settings.OpRemove, Path: path})
	}
	return changes
}

// settingsMove moves a node and all nodes below it.
type settingsMove struct {
	commandBase
	editOptions
	Positional struct {
		Path string `positional-arg-name:"PATH" required:"true"`
		To   string `positional-arg-name:"NEW-PATH" required:"true"`
	} `positional-args:"true"`
}

func (c *settingsMove) run(s *session) error {
	return s.edit(c.editOptions, "", func(*settings.Tree) ([]settings.Change, error) {
		move := settings.Change{Op: settings.OpMove, Path: settings.Path(c.Positional.Path), To: settings.Path(c.Positional.To)}
		return []settings.Change{move}, nil
	})
}

// settingsImport makes the tree equal to its text form in a file.
type settingsImport struct {
	commandBase
	editOptions
	Positional struct {
		File string `positional-arg-name:"FILE" required:"true" description:"Text form; - reads standard input."`
	} `positional-args:"true"`
}

func (c *settingsImport) run(s *session) error {
	wanted, err := s.readText(c.Positional.File)
	if err != nil {
		return err
	}
	return s.edit(c.editOptions, "", func(tree *settings.Tree) ([]settings.Change, error) {
		return settings.Diff(tree, wanted), nil
	})
}

// readText reads a tree in text form from a file or from standard input.
func (s *session) readText(name string) (*settings.Tree, error) {
	const standardInput = "-"
	var text []byte
	var err error
	if name == standardInput {
		text, err = io.ReadAll(s.Stdin)
	} else {
		text, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, &exitError{status: ExitUsage, cause: err}
	}
	tree, err := settings.ParseINI(text)
	if err != nil {
		return nil, &exitError{status: ExitUsage, cause: err}
	}
	return tree, nil
}
