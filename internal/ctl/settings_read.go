package ctl

import (
	"github.com/bluebellchute/bluebellchute/internal/settings"
)

// settingsGet shows the values in force at a node.
type settingsGet struct {
	commandBase
	Own        bool `long:"own" description:"Only what the node sets itself."`
	Positional struct {
		Path string   `positional-arg-name:"PATH" required:"true"`
		Keys []string `positional-arg-name:"KEY"`
	} `positional-args:"true"`
}

func (c *settingsGet) run(s *session) error {
	ctx, cancel := s.context()
	defer cancel()
	_, snapshot, err := s.readSettings(ctx)
	if err != nil {
		return err
	}
	path := settings.Path(c.Positional.Path)
	explanations, err := explainAll(snapshot.Tree, path, c.keys(snapshot.Tree, path))
	if err != nil {
		return err
	}
	rows := &table{columns: []string{"KEY", "VALUE", "FROM"}}
	shown := []settings.Explanation{}
	for _, explanation := range explanations {
		if c.Own && explanation.From != path {
			continue
		}
		shown = append(shown, explanation)
		rows.add(string(explanation.Key), orDash(explanation.Value), origin(explanation))
	}
	return s.show(shown, rows)
}

// keys returns the requested keys, or all that apply to the node.
func (c *settingsGet) keys(tree *settings.Tree, path settings.Path) []settings.KeyName {
	var names []settings.KeyName
	for _, name := range c.Positional.Keys {
		names = append(names, settings.KeyName(name))
	}
	if len(names) > 0 {
		return names
	}
	for _, key := range settings.Keys() {
		if key.AllowedAt(tree.Kind(path)) {
			names = append(names, key.Name)
		}
	}
	return names
}

func explainAll(tree *settings.Tree, path settings.Path, names []settings.KeyName) ([]settings.Explanation, error) {
	var explanations []settings.Explanation
	for _, name := range names {
		explanation, err := tree.Explain(path, name)
		if err != nil {
			return nil, err
		}
		explanations = append(explanations, explanation)
	}
	return explanations, nil
}

func origin(explanation settings.Explanation) string {
	if explanation.Default {
		return "default"
	}
	return orDash(string(explanation.From))
}

// settingsExplain shows where a value in force comes from.
type settingsExplain struct {
	commandBase
	Positional struct {
		Path string `positional-arg-name:"PATH" required:"true"`
		Key  string `positional-arg-name:"KEY" required:"true"`
	} `positional-args:"true"`
}

func (c *settingsExplain) run(s *session) error {
	ctx, cancel := s.context()
	defer cancel()
	_, snapshot, err := s.readSettings(ctx)
	if err != nil {
		return err
	}
	explanation, err := snapshot.Tree.Explain(settings.Path(c.Positional.Path), settings.KeyName(c.Positional.Key))
	if err != nil {
		return err
	}
	rows := &table{columns: []string{"VALUE", "FROM", ""}}
	rows.add(orDash(explanation.Value), origin(explanation), "in force")
	for _, source := range explanation.Overridden {
		from := string(source.Path)
		if from == "" {
			from = "default"
		}
		rows.add(source.Value, from, "overridden")
	}
	return s.show(explanation, rows)
}

// settingsExport prints the tree's text form.
type settingsExport struct{ commandBase }

// exportJSON is the JSON output of export.
type exportJSON struct {
	Revision uint64 `json:"revision"`
	Text     string `json:"text"`
}

func (c *settingsExport) run(s *session) error {
	ctx, cancel := s.context()
	defer cancel()
	_, snapshot, err := s.readSettings(ctx)
	if err != nil {
		return err
	}
	text := settings.FormatINI(snapshot.Tree)
	if s.options.Output == outputJSON {
		return s.show(exportJSON{Revision: snapshot.Tree.Revision(), Text: string(text)}, nil)
	}
	_, err = s.Stdout.Write(text)
	return err
}

// settingsDiff shows what an import would change.
type settingsDiff struct {
	commandBase
	Positional struct {
		File string `positional-arg-name:"FILE" required:"true" description:"Text form; - reads standard input."`
	} `positional-args:"true"`
}

func (c *settingsDiff) run(s *session) error {
	wanted, err := s.readText(c.Positional.File)
	if err != nil {
		return err
	}
	ctx, cancel := s.context()
	defer cancel()
	_, snapshot, err := s.readSettings(ctx)
	if err != nil {
		return err
	}
	return s.showPlan(snapshot.Tree.Revision(), settings.Diff(snapshot.Tree, wanted))
}
