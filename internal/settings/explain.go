package settings

// Source is a node or the registry's default that provides a value of a key.
type Source struct {
	Path  Path   `json:"path,omitempty"` // empty for the registry's default
	Value string `json:"value"`
}

// Explanation describes the effective value of a key at a node and its origin.
type Explanation struct {
	Path       Path     `json:"path"`
	Key        KeyName  `json:"key"`
	Value      string   `json:"value"` // empty if there is none
	From       Path     `json:"from,omitempty"`
	Default    bool     `json:"default"`              // whether the value is the registry's default
	Overridden []Source `json:"overridden,omitempty"` // the values that it overrides, nearest first
}

// Explain returns the effective value of a key at a node and where it comes
// from.
func (t *Tree) Explain(path Path, name KeyName) (Explanation, error) {
	key, ok := LookupKey(name)
	if !ok {
		return Explanation{}, asError([]Mistake{{Path: path, Key: name, Problem: "there is no such key"}})
	}
	if !t.Has(path) {
		return Explanation{}, asError([]Mistake{{Path: path, Key: name, Problem: "there is no such node"}})
	}
	sources := t.sources(path, key)
	explanation := Explanation{Path: path, Key: name}
	if len(sources) == 0 {
		return explanation, nil
	}
	inForce := sources[0]
	explanation.Value = inForce.Value
	explanation.From = inForce.Path
	explanation.Default = inForce.Path == ""
	explanation.Overridden = sources[1:]
	return explanation, nil
}

// sources lists all values of a key that apply at a node, the effective one first.
func (t *Tree) sources(path Path, key Key) []Source {
	var sources []Source
	for {
		if value, ok := t.Get(path, key.Name); ok {
			sources = append(sources, Source{Path: path, Value: value})
		}
		if path == Root || !key.Inherited {
			break
		}
		path = path.Parent()
	}
	if key.Default != "" {
		sources = append(sources, Source{Value: key.Default})
	}
	return sources
}
