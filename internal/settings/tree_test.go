package settings

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// TestTree runs the files in testdata, which cover inheritance, overrides, edits
// and mistakes.
func TestTree(t *testing.T) {
	datadriven.Walk(t, "testdata/tree", func(t *testing.T, file string) {
		tree := NewTree()
		datadriven.RunTest(t, file, func(t *testing.T, data *datadriven.TestData) string {
			switch data.Cmd {
			case "tree":
				read, err := ParseINI([]byte(data.Input))
				if err != nil {
					return err.Error() + "\n"
				}
				tree = read
				return "ok\n"
			case "edit":
				next, done, err := tree.Apply(parseChanges(data.Input))
				if err == nil {
					err = next.Validate()
				}
				if err != nil {
					return err.Error() + "\n"
				}
				tree = next
				return formatChanges(done)
			case "export":
				return string(FormatINI(tree))
			case "account":
				policy, ok := NewView(tree).Account(fleet.Account(data.CmdArgs[0].Key))
				return fmt.Sprintf("%v %+v\n", ok, policy)
			case "service":
				policy, ok := NewView(tree).Service(fleet.Service(data.CmdArgs[0].Key))
				return fmt.Sprintf("%v %+v\n", ok, policy)
			case "explain":
				explanation, err := tree.Explain(Path(data.CmdArgs[0].Key), KeyName(data.CmdArgs[1].Key))
				if err != nil {
					return err.Error() + "\n"
				}
				return fmt.Sprintf("%+v\n", explanation)
			}
			t.Fatalf("unknown command %s", data.Cmd)
			return ""
		})
	})
}

// parseChanges parses one change per line: op path [key] [value or target].
func parseChanges(text string) []Change {
	var changes []Change
	for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
		fields := append(strings.Fields(line), "", "")
		change := Change{Op: Operation(fields[0]), Path: Path(fields[1])}
		switch change.Op {
		case OpMove:
			change.To = Path(fields[2])
		default:
			change.Key, change.After = KeyName(fields[2]), fields[3]
		}
		changes = append(changes, change)
	}
	return changes
}

func formatChanges(changes []Change) string {
	var text strings.Builder
	for _, change := range changes {
		fmt.Fprintf(&text, "%+v\n", change)
	}
	if text.Len() == 0 {
		return "nothing changes\n"
	}
	return text.String()
}

func TestRegistryIsComplete(t *testing.T) {
	var account AccountPolicy
	var service ServicePolicy
	fields := make(map[any]KeyName)
	for _, key := range Keys() {
		if key.Doc == "" || len(key.NodeKinds) == 0 {
			t.Errorf("%s: no description or no node kind", key.Name)
		}
		if key.Default != "" && key.Check(key.Default) != nil {
			t.Errorf("%s: the default %q is not allowed", key.Name, key.Default)
		}
		if key.account != nil {
			fields[key.account(&account)] = key.Name
			if err := parseInto(key.Default, key.account(&account)); err != nil {
				t.Errorf("%s: %v", key.Name, err)
			}
		}
		if key.service != nil {
			fields[key.service(&service)] = key.Name
			if err := parseInto(key.Default, key.service(&service)); err != nil {
				t.Errorf("%s: %v", key.Name, err)
			}
		}
	}
	// One field of each policy is its name; every other field needs a key.
	want := reflect.TypeFor[AccountPolicy]().NumField() + reflect.TypeFor[ServicePolicy]().NumField() - 2
	if len(fields) != want {
		t.Errorf("%d fields of the policies have a key, want %d", len(fields), want)
	}
	if err := NewTree().Validate(); err != nil {
		t.Errorf("the defaults contradict each other: %v", err)
	}
}

func TestINIRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree := drawTree(t)
		text := FormatINI(tree)
		read, err := ParseINI(text)
		if err != nil {
			t.Fatalf("%v\n%s", err, text)
		}
		if !read.Equal(tree) {
			t.Fatalf("read back:\n%s\nwritten:\n%s", FormatINI(read), text)
		}
	})
}

func TestDiffReproducesTree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawTree(t), drawTree(t)
		got, _, err := from.Apply(Diff(from, to))
		if err != nil {
			t.Fatal(err)
		}
		if !got.Equal(to) {
			t.Fatalf("got:\n%s\nwant:\n%s", FormatINI(got), FormatINI(to))
		}
	})
}

// TestIncrementalViewMatchesFullView checks that a view updated edit by edit equals
// one resolved from the complete tree.
func TestIncrementalViewMatchesFullView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree, _, err := drawTree(t).Apply(nil)
		if err != nil {
			t.Fatal(err)
		}
		for i, account := range []Path{"acme/labs/alice", "acme/labs/bob", "acme/shop/carol", "umbra/x/dan"} {
			tree.ensureParents(account)
			tree.nodes[account] = newNode([]Setting{{KeyAPIKey, hashText(i + 1)}})
		}
		view := newView(tree)
		for range rapid.IntRange(1, 8).Draw(t, "edits") {
			changes := []Change{drawChange(t), drawChange(t)}
			next, done, err := tree.Apply(changes)
			if err != nil {
				continue
			}
			tree = next
			view = view.withChanges(tree, touchedPaths(done))
			requireSameView(t, view, newView(tree))
		}
	})
}

func requireSameView(t *rapid.T, got, want *resolvedView) {
	if !slices.Equal(got.Accounts(), want.Accounts()) || !slices.Equal(got.Services(), want.Services()) {
		t.Fatalf("got %v %v, want %v %v", got.Accounts(), got.Services(), want.Accounts(), want.Services())
	}
	if !reflect.DeepEqual(got.accounts, want.accounts) || !reflect.DeepEqual(got.services, want.services) {
		t.Fatalf("got %v %v, want %v %v", got.accounts, got.services, want.accounts, want.services)
	}
	for number := range 5 {
		hashes, _ := ParseKeyHashes(hashText(number))
		gotOwner, gotOK := got.AccountByKey(hashes[0])
		wantOwner, wantOK := want.AccountByKey(hashes[0])
		if gotOwner != wantOwner || gotOK != wantOK {
			t.Fatalf("key %d belongs to %q, want %q", number, gotOwner, wantOwner)
		}
	}
}
