package wiring

import (
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/bluebellchute/bluebellchute/internal/agent"
	"github.com/bluebellchute/bluebellchute/internal/daemon"
	"github.com/bluebellchute/bluebellchute/internal/inifile"
	"github.com/bluebellchute/bluebellchute/internal/router"
)

// role is a daemon that the operators' page describes.
type role struct {
	name   string
	config daemon.NodeConfig
	wire   daemon.Wire
}

func roles() []role {
	return []role{
		{"bluebell-router", new(router.Config), Router},
		{"bluebell-agent", new(agent.Config), Agent},
	}
}

// operationsPage returns the text of the operators' page.
func operationsPage(t *testing.T) string {
	t.Helper()
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	return string(page)
}

// rowsAfter returns the rows of the first table after a heading, without the
// table's two header lines.
func rowsAfter(t *testing.T, page, heading string) []string {
	t.Helper()
	_, after, found := strings.Cut(page, "\n"+heading+"\n")
	if !found {
		t.Fatalf("docs/OPERATIONS.md has no heading %q", heading)
	}
	lines := strings.Split(after, "\n")
	start := slices.IndexFunc(lines, func(line string) bool { return strings.HasPrefix(line, "|") })
	if start < 0 {
		t.Fatalf("no table after %q", heading)
	}
	rows := lo.TakeWhile(lines[start:], func(line string) bool { return strings.HasPrefix(line, "|") })
	return rows[2:]
}

// TestOperationsPageListsSettings compares the tables of the page with the keys
// that the daemons accept.
func TestOperationsPageListsSettings(t *testing.T) {
	page := operationsPage(t)
	common := inifile.Describe(&struct{ daemon.Common }{})
	compareRows(t, "all daemons", rowsAfter(t, page, "### All daemons"), settingRows(common))
	for _, role := range roles() {
		own := inifile.Describe(role.config)[len(common):]
		compareRows(t, role.name, rowsAfter(t, page, "### "+role.name), settingRows(own))
	}
}

func settingRows(keys []inifile.Description) []string {
	return lo.Map(keys, func(key inifile.Description, _ int) string {
		value := lo.Ternary(key.Required, "required", "`"+key.Default+"`")
		value = lo.Ternary(value == "``", "-", value)
		return fmt.Sprintf("| `[%s] %s` | %s | %s | %s | %s |", key.Section, key.Key, value,
			lo.CoalesceOrEmpty(key.Unit, "-"), lo.CoalesceOrEmpty(key.Allowed, "-"), key.Doc)
	})
}

func compareRows(t *testing.T, what string, page, code []string) {
	t.Helper()
	missing, stale := lo.Difference(code, page)
	for _, row := range missing {
		t.Errorf("%s: docs/OPERATIONS.md lacks the row\n%s", what, row)
	}
	for _, row := range stale {
		t.Errorf("%s: docs/OPERATIONS.md has a row that the code does not have\n%s", what, row)
	}
}

// TestOperationsPageFilesAreValid parses the example files of the page.
func TestOperationsPageFilesAreValid(t *testing.T) {
	page := operationsPage(t)
	for _, role := range roles() {
		_, after, found := strings.Cut(page, "# "+role.name+".ini\n")
		text, _, _ := strings.Cut(after, "```")
		if !found {
			t.Errorf("docs/OPERATIONS.md shows no %s.ini", role.name)
		} else if err := inifile.Parse(role.name+".ini", []byte(text), role.config); err != nil {
			t.Error(err)
		}
	}
}

// metricDescription captures the name, a constant label and the variable labels
// from the text of a prometheus.Desc, which has no accessors for them.
var metricDescription = regexp.MustCompile(`fqName: "(bluebell_\w+)".*constLabels: \{(\w*)[^}]*\}, variableLabels: \{([\w,]*)\}`)

// metricRow captures the name and the labels from a row of the page.
var metricRow = regexp.MustCompile("^\\| `(bluebell_\\w+)` \\| ([\\w, -]+) \\|")

// TestOperationsPageNamesMetrics compares the page with the metrics that the
// daemons register.
func TestOperationsPageNamesMetrics(t *testing.T) {
	code := make(map[string]string)
	for _, role := range roles() {
		describeMetrics(t, role, code)
	}
	page := make(map[string]string)
	for _, row := range rowsAfter(t, operationsPage(t), "## Metrics") {
		match := metricRow.FindStringSubmatch(row)
		if match == nil {
			t.Errorf("not a row of a metric: %s", row)
			continue
		}
		page[match[1]] = strings.ReplaceAll(strings.TrimPrefix(match[2], "-"), " ", "")
	}
	for name, labels := range code {
		if got, ok := page[name]; !ok {
			t.Errorf("docs/OPERATIONS.md lacks %s", name)
		} else if got != labels {
			t.Errorf("docs/OPERATIONS.md gives %s the labels %q, want %q", name, got, labels)
		}
	}
	for name := range page {
		if _, ok := code[name]; !ok {
			t.Errorf("no daemon registers %s", name)
		}
	}
}

// describeMetrics adds the labels of a role's metrics to into, by metric name. The
// role is assembled as the daemon assembles it.
func describeMetrics(t *testing.T, role role, into map[string]string) {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	injector := daemon.NewInjector(role.config.CommonConfig(), logger)
	switch config := role.config.(type) {
	case *router.Config:
		do.ProvideValue(injector, config)
	case *agent.Config:
		do.ProvideValue(injector, config)
	}
	role.wire(injector)
	if _, err := daemon.NewNode(injector); err != nil {
		t.Fatal(err)
	}
	descriptions := make(chan *prometheus.Desc)
	go func() {
		defer close(descriptions)
		do.MustInvoke[prometheus.Registerer](injector).(*prometheus.Registry).Describe(descriptions)
	}()
	for description := range descriptions {
		match := metricDescription.FindStringSubmatch(description.String())
		if match == nil {
			t.Errorf("cannot read %s", description)
			continue
		}
		into[match[1]] = match[2] + match[3]
	}
}
