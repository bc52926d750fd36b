package router

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/gofiber/fiber/v2"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// refusal is one way in which the code ends a call without an answer.
type refusal struct {
	code    string
	status  int // 0 when it is not written where the code is
	outcome fleet.Outcome
}

// TestPagesListRefusals compares the callers' and the operators' page with the
// refusals in the code: each code has a row on both, and the callers' row names
// each status with its outcome.
func TestPagesListRefusals(t *testing.T) {
	callers := rowsByCode(t, "CALLERS.md", "## Codes")
	operators := rowsByCode(t, "OPERATIONS.md", "## What each refusal means")
	known := make(map[string]bool)
	for _, refusal := range refusalsInCode(t) {
		known[refusal.code] = true
		row, ok := callers[refusal.code]
		want := fmt.Sprintf("%d `%s`", refusal.status, refusal.outcome)
		if !ok {
			t.Errorf("docs/CALLERS.md lacks %s", refusal.code)
		} else if refusal.status != 0 && !strings.Contains(row, want) {
			t.Errorf("docs/CALLERS.md does not say that %s comes with %s", refusal.code, want)
		}
		if _, ok := operators[refusal.code]; !ok {
			t.Errorf("docs/OPERATIONS.md lacks %s", refusal.code)
		}
	}
	for _, page := range []map[string]string{callers, operators} {
		for code := range page {
			if !known[code] {
				t.Errorf("a page lists %s, which no refusal has", code)
			}
		}
	}
}

var quotedCode = regexp.MustCompile("`([a-z_]+)`")

// rowsByCode returns the rows of the table after a heading by the codes in
// their first cells.
func rowsByCode(t *testing.T, page, heading string) map[string]string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("../../docs", page))
	if err != nil {
		t.Fatal(err)
	}
	_, section, _ := strings.Cut(string(text), "\n"+heading+"\n")
	section, _, _ = strings.Cut(section, "\n## ")
	rows := make(map[string]string)
	for line := range strings.Lines(section) {
		cells := strings.Split(line, "|")
		if len(cells) < 3 {
			continue
		}
		for _, match := range quotedCode.FindAllStringSubmatch(cells[1], -1) {
			rows[match[1]] = line
		}
	}
	return rows
}

// refusalsInCode finds the calls of bad, notRun and unknown.
func refusalsInCode(t *testing.T) []refusal {
	t.Helper()
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	names := map[string]string{}
	var found []refusal
	var parsed []*ast.File
	for _, path := range files {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		parsed = append(parsed, file)
		addConstants(names, file)
	}
	for _, file := range parsed {
		ast.Inspect(file, func(node ast.Node) bool {
			if call, ok := node.(*ast.CallExpr); ok {
				found = append(found, refusalOf(t, names, call)...)
			}
			return true
		})
	}
	return found
}

// addConstants notes the values of a file's constants that are literals.
func addConstants(names map[string]string, file *ast.File) {
	ast.Inspect(file, func(node ast.Node) bool {
		spec, ok := node.(*ast.ValueSpec)
		if !ok {
			return true
		}
		for i, name := range spec.Names {
			if i < len(spec.Values) {
				names[name.Name] = literal(names, spec.Values[i])
			}
		}
		return true
	})
}

// literal is the value of a literal or of a constant that is one, else empty.
func literal(names map[string]string, expression ast.Expr) string {
	switch value := expression.(type) {
	case *ast.BasicLit:
		return strings.Trim(value.Value, `"`)
	case *ast.Ident:
		return names[value.Name]
	case *ast.SelectorExpr:
		return fiberStatuses[value.Sel.Name]
	default:
		return ""
	}
}

// fiberStatuses are the statuses that the router takes from the HTTP library.
var fiberStatuses = map[string]string{
	"StatusBadRequest":            strconv.Itoa(fiber.StatusBadRequest),
	"StatusUnauthorized":          strconv.Itoa(fiber.StatusUnauthorized),
	"StatusNotFound":              strconv.Itoa(fiber.StatusNotFound),
	"StatusRequestEntityTooLarge": strconv.Itoa(fiber.StatusRequestEntityTooLarge),
	"StatusServiceUnavailable":    strconv.Itoa(fiber.StatusServiceUnavailable),
}

// refusalOf reads one call. A code that is passed on from elsewhere is found
// where it is written.
func refusalOf(t *testing.T, names map[string]string, call *ast.CallExpr) []refusal {
	t.Helper()
	outcomes := map[string]fleet.Outcome{
		"bad":     fleet.OutcomeNotRun,
		"notRun":  fleet.OutcomeNotRun,
		"unknown": fleet.OutcomeUnknown,
	}
	function, ok := call.Fun.(*ast.Ident)
	if !ok || outcomes[function.Name] == "" || len(call.Args) < 3 {
		return nil
	}
	code := literal(names, call.Args[1])
	if code == "" {
		return nil
	}
	status := 0
	text := literal(names, call.Args[0])
	if _, selected := call.Args[0].(*ast.SelectorExpr); selected && text == "" {
		t.Errorf("%s: add its status to fiberStatuses", code)
	}
	if text != "" {
		number, err := strconv.Atoi(text)
		if err != nil {
			t.Errorf("%s: status %q", code, text)
		}
		status = number
	}
	return []refusal{{code: code, status: status, outcome: outcomes[function.Name]}}
}
