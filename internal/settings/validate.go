package settings

import (
	"github.com/samber/lo"
)

// Validate checks the tree and returns a ValidationError with all mistakes, or
// nil.
func (t *Tree) Validate() error { return asError(t.mistakes()) }

func (t *Tree) mistakes() []Mistake {
	paths := t.Paths()
	var mistakes []Mistake
	for _, path := range paths {
		mistakes = append(mistakes, t.checkParent(path)...)
		mistakes = append(mistakes, t.checkValues(path)...)
	}
	if len(mistakes) == 0 {
		mistakes = t.checkEffectiveValues(paths)
	}
	return append(mistakes, t.checkKeyOwners(paths)...)
}

// checkParent checks that the parent of a node exists and may have a child of its
// kind.
func (t *Tree) checkParent(path Path) []Mistake {
	if !path.Valid() {
		return []Mistake{{Path: path, Problem: "not a path", Allowed: segmentRule}}
	}
	parent := path.Parent()
	if path == Root {
		return nil
	}
	if !t.Has(parent) {
		return []Mistake{{Path: path, Problem: "the node above it is missing"}}
	}
	kind, parentKind := t.Kind(path), t.Kind(parent)
	if lo.Contains(parentKinds[kind], parentKind) {
		return nil
	}
	return []Mistake{{
		Path: path, Key: KeyNode, Value: string(kind),
		Problem: "the node above it is of the kind " + string(parentKind),
		Allowed: "below " + lo.Reduce(parentKinds[kind], joinKinds, ""),
	}}
}

// parentKinds lists the allowed kinds of the parent for each kind of node.
var parentKinds = map[NodeKind][]NodeKind{
	NodeOrganisation: {NodeRoot},
	NodeTeam:         {NodeOrganisation, NodeTeam},
	NodeAccount:      {NodeRoot, NodeOrganisation, NodeTeam},
	NodeServices:     {NodeRoot},
	NodeService:      {NodeServices},
}

func joinKinds(text string, kind NodeKind, index int) string {
	if index > 0 {
		text += ", "
	}
	return text + string(kind)
}

// checkValues checks each of a node's own values.
func (t *Tree) checkValues(path Path) []Mistake {
	kind := t.Kind(path)
	var mistakes []Mistake
	for _, setting := range t.nodes[path].settings {
		mistake := Mistake{Path: path, Key: setting.Key, Value: setting.Value}
		key, ok := LookupKey(setting.Key)
		switch {
		case !ok:
			mistake.Problem = "there is no such key"
		case setting.Key != KeyNode && !key.AllowedAt(kind):
			mistake.Problem = "the key does not apply to a node of the kind " + string(kind)
			mistake.Allowed = "at " + lo.Reduce(key.NodeKinds, joinKinds, "")
		case setting.Key == KeyNode && path.Depth() == 0, setting.Key == KeyNode && path.inServices():
			mistake.Problem = "the kind of this node is fixed"
		case key.Check(setting.Value) != nil:
			mistake.Problem = "the value is not allowed"
			mistake.Allowed = key.Allowed()
		default:
			continue
		}
		mistakes = append(mistakes, mistake)
	}
	return mistakes
}

// checkEffectiveValues checks effective values that depend on each other. A
// contradiction is reported at the node that causes it, not at each node below.
func (t *Tree) checkEffectiveValues(paths []Path) []Mistake {
	var mistakes []Mistake
	resolved := newResolver(t)
	for _, path := range paths {
		if t.setsAny(path, KeyDefaultDeadline, KeyMaxDeadline) && !path.inServices() {
			mistakes = append(mistakes, checkDeadlines(path, resolved.account(path))...)
		}
		if t.setsAny(path, KeyHeartbeatInterval, KeySilenceTimeout) {
			mistakes = append(mistakes, checkHeartbeat(path, resolved.service(path))...)
		}
	}
	return mistakes
}

func (t *Tree) setsAny(path Path, keys ...KeyName) bool {
	return lo.SomeBy(keys, func(key KeyName) bool {
		_, ok := t.Get(path, key)
		return ok
	})
}

func checkDeadlines(path Path, policy AccountPolicy) []Mistake {
	if policy.DefaultDeadline <= policy.MaxDeadline {
		return nil
	}
	return []Mistake{{
		Path: path, Key: KeyDefaultDeadline, Value: policy.DefaultDeadline.String(),
		Problem: "longer than max_deadline",
		Allowed: "at most " + policy.MaxDeadline.String(),
	}}
}

func checkHeartbeat(path Path, policy ServicePolicy) []Mistake {
	if policy.HeartbeatInterval < policy.SilenceTimeout {
		return nil
	}
	return []Mistake{{
		Path: path, Key: KeyHeartbeatInterval, Value: policy.HeartbeatInterval.String(),
		Problem: "not shorter than silence_timeout",
		Allowed: "below " + policy.SilenceTimeout.String(),
	}}
}

// checkKeyOwners rejects an API key that belongs to two client accounts, since one
// account would be billed for the other's calls.
func (t *Tree) checkKeyOwners(paths []Path) []Mistake {
	owners := make(map[KeyHash]Path)
	var mistakes []Mistake
	for _, path := range paths {
		for _, hash := range t.keyHashes(path) {
			owner, duplicate := owners[hash]
			if duplicate {
				mistakes = append(mistakes, Mistake{
					Path: path, Key: KeyAPIKey, Value: FormatKeyHashes([]KeyHash{hash}),
					Problem: "the API key is listed already at " + string(owner),
				})
				continue
			}
			owners[hash] = path
		}
	}
	return mistakes
}

// keyHashes returns the API key hashes of a node, or nil if they are invalid.
func (t *Tree) keyHashes(path Path) []KeyHash {
	text, ok := t.Get(path, KeyAPIKey)
	if !ok {
		return nil
	}
	hashes, err := ParseKeyHashes(text)
	if err != nil {
		return nil
	}
	return hashes
}
