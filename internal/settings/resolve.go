package settings

// Policies that hold where no node sets anything.
var (
	defaultAccount = defaultsOf(func(key Key) func(*AccountPolicy) any { return key.account })
	defaultService = defaultsOf(func(key Key) func(*ServicePolicy) any { return key.service })
)

func defaultsOf[P any](field func(Key) func(*P) any) P {
	var policy P
	for _, key := range registry {
		if target := field(key); target != nil {
			// The test of the registry proves that every default can be read.
			_ = store(key.Default, target(&policy))
		}
	}
	return policy
}

// resolver works out the values in force. It remembers what it has worked out
// for the groups, so that a whole tree costs one step a node.
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

// account returns the policy in force at a node, as a client account there
// would have it.
func (r *resolver) account(path Path) AccountPolicy {
	return inherit(r.tree, path, r.accounts, defaultAccount, func(key Key) func(*AccountPolicy) any { return key.account })
}

// service returns the policy in force at a node, as a service there would
// have it.
func (r *resolver) service(path Path) ServicePolicy {
	return inherit(r.tree, path, r.services, defaultService, func(key Key) func(*ServicePolicy) any { return key.service })
}

// inherit takes the parent's policy and overrides it by what the node sets
// itself.
func inherit[P any](tree *Tree, path Path, known map[Path]P, defaults P, field func(Key) func(*P) any) P {
	if policy, ok := known[path]; ok {
		return policy
	}
	policy := defaults
	if path != Root {
		policy = inherit(tree, path.Parent(), known, defaults, field)
	}
	override(tree.nodes[path], &policy, field)
	known[path] = policy
	return policy
}

// override stores a node's own values. A key or a value that this version of
// the program does not know is passed over, and the inherited value stays in
// force: nodes of two versions run side by side during an upgrade, and an edit
// made for the newer one must not stop the older one.
func override[P any](own *node, policy *P, field func(Key) func(*P) any) {
	if own == nil {
		return
	}
	for _, setting := range own.settings {
		key, ok := LookupKey(setting.Key)
		if !ok || field(key) == nil || key.Check(setting.Value) != nil {
			continue
		}
		_ = store(setting.Value, field(key)(policy))
	}
}
