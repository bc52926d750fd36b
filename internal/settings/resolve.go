package settings

// Policies made up of default values only.
var (
	defaultAccount = defaultsOf(func(key Key) func(*AccountPolicy) any { return key.account })
	defaultService = defaultsOf(func(key Key) func(*ServicePolicy) any { return key.service })
)

func defaultsOf[P any](field func(Key) func(*P) any) P {
	var policy P
	for _, key := range registry {
		if target := field(key); target != nil {
			// A test checks that every default can be parsed.
			_ = parseInto(key.Default, target(&policy))
		}
	}
	return policy
}

// resolver computes effective policies. It caches the result for each node, so
// that resolving a complete tree takes one step per node.
type resolver struct {
	tree     *Tree
	accounts map[Path]AccountPolicy
	services map[Path]ServicePolicy
}

func newResolver(tree *Tree) *resolver {
	return &resolver{
		tree:     tree,
		accounts: make(map[Path]AccountPolicy),
		services: make(map[Path]ServicePolicy),
	}
}

// account returns the effective policy of a client account at a path.
func (r *resolver) account(path Path) AccountPolicy {
	return inherit(r.tree, path, r.accounts, defaultAccount, func(key Key) func(*AccountPolicy) any { return key.account })
}

// service returns the effective policy of a service at a path.
func (r *resolver) service(path Path) ServicePolicy {
	return inherit(r.tree, path, r.services, defaultService, func(key Key) func(*ServicePolicy) any { return key.service })
}

// inherit returns the parent's policy, overridden by the node's own values.
func inherit[P any](tree *Tree, path Path, cache map[Path]P, defaults P, field func(Key) func(*P) any) P {
	if policy, ok := cache[path]; ok {
		return policy
	}
	policy := defaults
	if path != Root {
		policy = inherit(tree, path.Parent(), cache, defaults, field)
	}
	override(tree.nodes[path], &policy, field)
	cache[path] = policy
	return policy
}

// override stores a node's own values in a policy. It skips a key or value that
// this version of the program doesn't know, so that the inherited value stays
// effective: nodes of two versions run side by side during an upgrade, and an
// edit for the newer version must not break the older one.
func override[P any](n *node, policy *P, field func(Key) func(*P) any) {
	if n == nil {
		return
	}
	for _, setting := range n.settings {
		key, ok := LookupKey(setting.Key)
		if !ok || field(key) == nil || key.Check(setting.Value) != nil {
			continue
		}
		_ = parseInto(setting.Value, field(key)(policy))
	}
}
