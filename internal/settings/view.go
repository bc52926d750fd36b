package settings

import (
	"maps"
	"slices"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// resolvedView is a View. A new one shares with the one before whatever an
// edit left alone.
type resolvedView struct {
	tree         *Tree
	accounts     map[fleet.Account]*AccountPolicy
	accountOrder []fleet.Account
	services     map[fleet.Service]*ServicePolicy
	serviceOrder []fleet.Service
	keys         *keyIndex
}

var _ View = (*resolvedView)(nil)

// NewView resolves a whole tree.
func NewView(tree *Tree) View { return newView(tree) }

func newView(tree *Tree) *resolvedView {
	empty := &resolvedView{
		tree:     NewTree(),
		accounts: make(map[fleet.Account]*AccountPolicy),
		services: make(map[fleet.Service]*ServicePolicy),
		keys:     newKeyIndex(),
	}
	return empty.next(tree, []Path{Root})
}

// next returns the view of a tree that differs from the present one only at
// and below the touched paths. It costs one step for each node there, plus a
// copy of the tables that change.
func (v *resolvedView) next(tree *Tree, touched []Path) *resolvedView {
	view := *v
	view.tree = tree
	paths := affected(v.tree, tree, touched)
	var accountPaths, servicePaths []Path
	for _, path := range paths {
		if path.isService() {
			servicePaths = append(servicePaths, path)
			continue
		}
		accountPaths = append(accountPaths, path)
	}
	resolved := newResolver(tree)
	if len(accountPaths) > 0 {
		view.nextAccounts(v, accountPaths, resolved)
	}
	if len(servicePaths) > 0 {
		view.nextServices(v, servicePaths, resolved)
	}
	return &view
}

// affected lists the nodes of either tree at and below the touched paths.
func affected(before, after *Tree, touched []Path) []Path {
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

func (v *resolvedView) nextAccounts(before *resolvedView, paths []Path, resolved *resolver) {
	v.accounts = maps.Clone(before.accounts)
	v.keys = before.keys.clone()
	for _, path := range paths {
		account := fleet.Account(path)
		for _, hash := range before.tree.accountHashes(path) {
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
	v.accountOrder = sameOrNew(before.accountOrder, v.accounts)
}

func (v *resolvedView) nextServices(before *resolvedView, paths []Path, resolved *resolver) {
	v.services = maps.Clone(before.services)
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
	v.serviceOrder = sameOrNew(before.serviceOrder, v.services)
}

// accountHashes returns the API key hashes of a path that is a client account.
func (t *Tree) accountHashes(path Path) []KeyHash {
	if !t.Has(path) || t.Kind(path) != NodeAccount {
		return nil
	}
	return t.keyHashes(path)
}

// sameOrNew returns the sorted names of a table, and the old list when it is
// still true.
func sameOrNew[K ~string, V any](old []K, table map[K]V) []K {
	same := len(old) == len(table)
	for _, name := range old {
		if _, ok := table[name]; !ok {
			same = false
			break
		}
	}
	if same {
		return old
	}
	return slices.Sorted(maps.Keys(table))
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
