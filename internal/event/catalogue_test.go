package event

import (
	"bufio"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

const repositoryRoot = "../.."

// record is one event as the code or the page defines it.
type record struct {
	level   string
	message string
}

// TestCataloguePage checks that docs/EVENTS.md lists exactly the events in the code, with
// their numbers, levels and messages.
func TestCataloguePage(t *testing.T) {
	code := eventsInCode(t)
	page := eventsOnPage(t)
	for number, want := range code {
		got, ok := page[number]
		if !ok {
			t.Errorf("event %d (%s) is missing in docs/EVENTS.md", number, want.message)
		} else if got != want {
			t.Errorf("event %d is %+v in docs/EVENTS.md, want %+v", number, got, want)
		}
	}
	for number, got := range page {
		if _, ok := code[number]; !ok {
			t.Errorf("event %d (%s) of docs/EVENTS.md is not in the code", number, got.message)
		}
	}
}

// eventsInCode returns all literals of Event by number. Literals outside of this package
// would be missing from the catalogue and are errors.
func eventsInCode(t *testing.T) map[int]record {
	t.Helper()
	events := make(map[int]record)
	set := token.NewFileSet()
	walk := func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(set, path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(node ast.Node) bool {
			literal, ok := node.(*ast.CompositeLit)
			if !ok {
				return true
			}
			if isSelector(literal.Type, "event", "Event") {
				t.Errorf("%s: an Event outside of the catalogue", set.Position(literal.Pos()))
			}
			if name, ok := literal.Type.(*ast.Ident); ok && name.Name == "Event" && file.Name.Name == "event" {
				addEvent(t, events, set.Position(literal.Pos()), literal)
			}
			return true
		})
		return nil
	}
	for _, directory := range []string{"internal", "cmd", "platform"} {
		err := filepath.WalkDir(filepath.Join(repositoryRoot, directory), walk)
		if err != nil && !os.IsNotExist(err) {
			t.Fatal(err)
		}
	}
	return events
}

func addEvent(t *testing.T, events map[int]record, position token.Position, literal *ast.CompositeLit) {
	t.Helper()
	if len(literal.Elts) != 3 {
		t.Errorf("%s: want Event{number, level, message}", position)
		return
	}
	number, err := strconv.Atoi(basic(literal.Elts[0]))
	if err != nil {
		t.Errorf("%s: the number is not a literal", position)
		return
	}
	message, err := strconv.Unquote(basic(literal.Elts[2]))
	if err != nil {
		t.Errorf("%s: the message is not a literal", position)
		return
	}
	level := ""
	if selector, ok := literal.Elts[1].(*ast.SelectorExpr); ok {
		level = strings.ToLower(strings.TrimSuffix(selector.Sel.Name, "Level"))
	}
	if level == "warn" {
		level = "warning"
	}
	if _, twice := events[number]; twice {
		t.Errorf("%s: number %d is used twice", position, number)
	}
	events[number] = record{level: level, message: message}
}

func basic(expression ast.Expr) string {
	if literal, ok := expression.(*ast.BasicLit); ok {
		return literal.Value
	}
	return ""
}

func isSelector(expression ast.Expr, qualifier, name string) bool {
	selector, ok := expression.(*ast.SelectorExpr)
	if !ok || selector.Sel.Name != name {
		return false
	}
	identifier, ok := selector.X.(*ast.Ident)
	return ok && identifier.Name == qualifier
}

var pageRow = regexp.MustCompile(`^\| *(\d+) *\| *(\w+) *\| *(.+?) *\| *(.+?) *\|$`)

func eventsOnPage(t *testing.T) map[int]record {
	t.Helper()
	file, err := os.Open(filepath.Join(repositoryRoot, "docs", "EVENTS.md"))
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	events := make(map[int]record)
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		match := pageRow.FindStringSubmatch(lines.Text())
		if match == nil {
			continue
		}
		number, _ := strconv.Atoi(match[1])
		if _, twice := events[number]; twice {
			t.Errorf("docs/EVENTS.md lists number %d twice", number)
		}
		events[number] = record{level: match[2], message: match[3]}
	}
	if err := lines.Err(); err != nil {
		t.Fatal(err)
	}
	return events
}
