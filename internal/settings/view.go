package settings

import (
	"maps"
	"slices"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// resolvedView implements View. A view after an edit shares all unchanged parts
// with the previous one.
type resolvedView struct {
	tree         *Tree
	accounts     map[fleet.Account]*AccountPolicy
	accountOrder []fleet.Account
	services     map[fleet.Service]*ServicePolicy
	serviceOrder []fleet.Service
	keys         *keyIndex
}

var _ View = (*resolvedView)(nil)

// NewView resolves a complete tree.
func NewView(tree *Tree) View { return newView(tree) }

func newView(tree *Tree) *resolvedView {
	empty := &resolvedView{
		tree:     NewTree(),
		accounts: make(map[fleet.Account]*AccountPolicy),
		services: make(map[fleet.Service]*ServicePolicy),
		keys:     newKeyIndex(),
	}
	return empty.withChanges(tree, []Path{Root})
}

// withChanges returns the view of a tree that differs from the current one only at
// and below the touched paths. It takes one step for each node there, plus a
// copy of the maps that change.
func (v *resolvedView) withChanges(tree *Tree, touched []Path) *resolvedView {
	view := *v
	view.tree = tree
	paths := affectedNodes(v.tree, tree, touched)
	var accountPaths, servicePaths []Path
	for _, path := range paths {
		if path.inServices() {
			servicePaths = append(servicePaths, path)
			continue
		}
		accountPaths = append(accountPaths, path)
	}
	resolved := newResolver(tree)
	if len(accountPaths) > 0 {
		view.updateAccounts(v, accountPaths, resolved)
	}
	if len(servicePaths) > 0 {
		view.updateServices(v, servicePaths, resolved)
	}
	return &view
}

// affectedNodes lists the nodes of both trees at and below the touched paths.
func affectedNodes(before, after *Tree, touched []Path) []Path {
	set := make(map[Path]struct{})
	for _, tree := range []*Tree{before, after} {
		for path := range tree.nodes {
			if slices.ContainsFunc(touched, func(top Path) bool { return top.Contains(path) }) {
				set[path] = struct{}{}
			}
		}
	}
	return slices.Collect(maps.Keys(set))
}

func (v *resolvedView) updateAccounts(previous *resolvedView, paths []Path, resolved *resolver) {
	v.accounts = maps.Clone(previous.accounts)
	v.keys = previous.keys.clone()
	for _, path := range paths {
		account := fleet.Account(path)
		for _, hash := range previous.tree.accountHashes(path) {
			v.keys.remove(hash, account)
		}
		delete(v.accounts, account)
	}
	for _, path := range paths {
		if !v.tree.Has(path) || v.tree.Kind(path) != NodeAccount {
			continue
		}
		account := fleet.Account(path)
		policy := resolved.account(path)
		policy.Account = account
		v.accounts[account] = &policy
		for _, hash := range v.tree.accountHashes(path) {
			v.keys.add(hash, account)
		}
	}
	v.accountOrder = sortedNames(previous.accountOrder, v.accounts)
}

func (v *resolvedView) updateServices(previous *resolvedView, paths []Path, resolved *resolver) {
	v.services = maps.Clone(previous.services)
	for _, path := range paths {
		service := fleet.Service(path.Base())
		if path.Parent() != ServicesPath {
			continue
		}
		if !v.tree.Has(path) {
			delete(v.services, service)
			continue
		}
		policy := resolved.service(path)
		policy.Service = service
		v.services[service] = &policy
	}
	v.serviceOrder = sortedNames(previous.serviceOrder, v.services)
}

// accountHashes returns the API key hashes of a path that is a client account.
func (t *Tree) accountHashes(path Path) []KeyHash {
	if !t.Has(path) || t.Kind(path) != NodeAccount {
		return nil
	}
	return t.keyHashes(path)
}

// sortedNames returns the sorted keys of a map. It returns the old list if that
// is still correct.
func sortedNames[K ~string, V any](old []K, entries map[K]V) []K {
	same := len(old) == len(entries)
	for _, name := range old {
		if _, ok := entries[name]; !ok {
			same = false
			break
		}
	}
	if same {
		return old
	}
	return slices.Sorted(maps.Keys(entries))
}

// Revision implements View.
func (v *resolvedView) Revision() uint64 { return v.tree.Revision() }

// Account implements View.
func (v *resolvedView) Account(account fleet.Account) (AccountPolicy, bool) {
	policy, ok := v.accounts[account]
	if !ok {
		return AccountPolicy{}, false
	}
	return *policy, true
}

// AccountByKey implements View.
func (v *resolvedView) AccountByKey(hash KeyHash) (fleet.Account, bool) { return v.keys.find(hash) }

// Accounts implements View. The list is shared and must not be changed.
func (v *resolvedView) Accounts() []fleet.Account { return v.accountOrder }

// Service implements View.
func (v *resolvedView) Service(service fleet.Service) (ServicePolicy, bool) {
	policy, ok := v.services[service]
	if !ok {
		return ServicePolicy{}, false
	}
	return *policy, true
}

// Services implements View. The list is shared and must not be changed.
func (v *resolvedView) Services() []fleet.Service { return v.serviceOrder }
