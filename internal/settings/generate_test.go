package settings

import (
	"fmt"

	"pgregory.net/rapid"
)

// drawTree draws a valid tree with up to a dozen changes to the initial one.
func drawTree(t *rapid.T) *Tree {
	tree := NewTree()
	count := rapid.IntRange(0, 12).Draw(t, "changes")
	for range count {
		next, _, err := tree.Apply([]Change{drawChange(t)})
		if err == nil && next.Validate() == nil {
			tree = next
		}
	}
	return tree
}

var (
	drawnPaths = rapid.SampledFrom([]Path{
		Root, "acme", "acme/labs", "acme/labs/alice", "acme/labs/bob", "acme/shop", "acme/shop/carol",
		"umbra", "umbra/x", "umbra/x/dan", ServicesPath, "services/llm", "services/timing",
	})
	drawnSettings = rapid.SampledFrom([]Setting{
		{"weight", "2"}, {"weight", "0.5"}, {"weight", "-1"}, {"queue_requests", "7"}, {"queue_bytes", "3MiB"},
		{"default_deadline", "5s"}, {"default_deadline", "45m"}, {"max_deadline", "1h"}, {"disabled", "true"},
		{"kind", "plain"}, {"slots", "8"}, {"token_cost", "1.5"}, {"idempotent", "true"}, {"node", "team"},
		{"node", "account"}, {"api_key_sha256", hashText(1)}, {"api_key_sha256", hashText(2) + "," + hashText(3)},
	})
	drawnAccounts = rapid.SampledFrom([]Path{"acme/labs/alice", "acme/labs/bob", "acme/shop/carol", "umbra/x/dan"})
)

func hashText(number int) string { return fmt.Sprintf("%064x", number) }

func drawChange(t *rapid.T) Change {
	op := rapid.SampledFrom([]Operation{OpSet, OpSet, OpSet, OpUnset, OpCreate, OpCreate, OpRemove, OpMove}).Draw(t, "op")
	change := Change{Op: op, Path: drawnPaths.Draw(t, "path")}
	switch op {
	case OpSet:
		setting := drawnSettings.Draw(t, "setting")
		change.Key, change.After = setting.Key, setting.Value
		if rapid.IntRange(0, 3).Draw(t, "rotate") == 0 {
			change.Path = drawnAccounts.Draw(t, "account")
			change.Key, change.After = KeyAPIKey, hashText(rapid.IntRange(1, 4).Draw(t, "hash"))
		}
	case OpUnset:
		change.Key = drawnSettings.Draw(t, "setting").Key
	case OpCreate:
		change.Settings = rapid.SliceOfNDistinct(drawnSettings, 0, 3, func(s Setting) KeyName { return s.Key }).Draw(t, "settings")
	case OpMove:
		change.To = drawnPaths.Draw(t, "to")
	}
	return change
}
