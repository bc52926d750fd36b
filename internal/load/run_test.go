package load

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/engine"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/inifile"
)

// TestRunAgainstAnEngine sends load directly to an engine, which has the routers'
// interface for callers, and expects complete answers and one run per request.
func TestRunAgainstAnEngine(t *testing.T) {
	e, err := engine.Listen(engine.Config{Step: time.Millisecond}, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- e.Run(ctx) }()
	defer func() { cancel(); <-ended }()
	file := filepath.Join(t.TempDir(), "scenario.ini")
	text := strings.ReplaceAll(`
[run]
duration = 1s
warm_up = 0s
[fleet]
routers = ENGINE
[service.m]
engines = ENGINE
[load.a]
account = a
service = m
outstanding = 4
output = 20
[load.b]
account = b
service = m
pattern = poisson
rate = 50
whole = true
output = 5
hint = 0.1
`, "ENGINE", e.Address())
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	scenario, err := ReadScenario(file)
	if err != nil {
		t.Fatal(err)
	}
	report, err := Run(context.Background(), scenario)
	if err != nil {
		t.Fatal(err)
	}
	if whole := report.Requests.ByVerdict[VerdictWhole]; whole != report.Requests.Sent || whole == 0 {
		t.Errorf("%d of %d answers are complete: %+v", whole, report.Requests.Sent, report.Requests)
	}
	if report.LostAnswers+report.DoubleRuns+report.UntrueRefusals+report.UnansweredRuns != 0 {
		t.Errorf("errors in %+v", report)
	}
	if runs := report.Services["m"].Runs; runs != report.Requests.Sent {
		t.Errorf("%d runs joined with %d requests", runs, report.Requests.Sent)
	}
}

// Guards against faulty answers that count as complete: answers to other requests
// and answers with missing, repeated or other content. Each must get its verdict.
func TestFaultyAnswersAreFound(t *testing.T) {
	request := call{tokens: 3, body: []byte("mine")}
	event := func(id, text string, body string) string {
		return `data: {"id":"` + id + `","system_fingerprint":"` + engine.Fingerprint([]byte(body)) +
			`","choices":[{"delta":{"content":"` + text + `"}}]}` + "\n\n"
	}
	const done = "data: [DONE]\n\n"
	text := engine.Text("r", 3)
	tests := []struct {
		name, answer string
		want         Verdict
	}{
		{"whole", event("r", text[:8], "mine") + event("r", text[8:], "mine") + done, VerdictWhole},
		{"no end", event("r", text, "mine"), VerdictCut},
		{"a gap", event("r", text[8:], "mine") + done, VerdictDamaged},
		{"a repeat", event("r", text, "mine") + event("r", text[16:], "mine") + done, VerdictDamaged},
		{"another's answer", event("r", text, "other") + done, VerdictForeign},
		{"crossed in the middle", event("r", text[:8], "mine") + event("s", text[8:], "mine") + done, VerdictForeign},
		{"a visible error", event("r", text[:8], "mine") + "data: {\"error\":{\"message\":\"lost\"}}\n\n", VerdictFailed},
	}
	for _, test := range tests {
		reader := answerReader{request: request, onToken: func(time.Time) {}}
		if got := reader.readStream(strings.NewReader(test.answer)); got != test.want {
			t.Errorf("%s: verdict %s, want %s", test.name, got, test.want)
		}
	}
}

// Requests that ran although reported as not run, that ran twice or that no client
// knows of must be counted.
func TestRunsAreComparedWithReportedOutcomes(t *testing.T) {
	results := []Result{
		{ID: "refused", Outcome: fleet.OutcomeNotRun, Verdict: VerdictRefused, Status: 503},
		{ID: "twice", Outcome: fleet.OutcomeCompleted, Verdict: VerdictWhole, Status: 200},
	}
	records := []*engineRecord{
		{runs: []engine.Run{{ID: "refused"}, {ID: "twice"}, {ID: "nobody's"}}},
		{runs: []engine.Run{{ID: "twice"}}},
	}
	var report Report
	report.checkRuns(results, joinRuns(records))
	if report.UntrueRefusals != 1 || report.DoubleRuns != 1 || report.UnansweredRuns != 1 {
		t.Errorf("%+v", report)
	}
}

func TestBadScenarioListsEveryProblem(t *testing.T) {
	file := filepath.Join(t.TempDir(), "scenario.ini")
	text := "[load.a]\naccount = a\nservice = m\nrouters = 3\n"
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := ReadScenario(file)
	for _, want := range []string{"[fleet] routers", "[load.a] service", "[load.a] routers"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v does not name %s", err, want)
		}
	}
}

// TestScenarioFiles parses the streams of both deployments, completed with other
// sections as scenarios/run does.
func TestScenarioFiles(t *testing.T) {
	const fleetSection = "[fleet]\nrouters = 127.0.0.1:1,127.0.0.1:2,127.0.0.1:3,127.0.0.1:4\n"
	for file, services := range map[string][]string{
		"skammtur.ini": {"uppskrift-lm", "linubord"},
		"lahore.ini":   {"llm-pool", "timing-app"},
	} {
		streams, err := os.ReadFile(filepath.Join("..", "..", "scenarios", file))
		if err != nil {
			t.Fatal(err)
		}
		text := fleetSection
		for _, service := range services {
			text += "[service." + service + "]\n"
		}
		var scenario Scenario
		if err := inifile.Parse(file, append([]byte(text), streams...), &scenario); err != nil {
			t.Error(err)
		}
		accounts := make(map[string]float64)
		for _, stream := range scenario.Streams {
			if weight, known := accounts[stream.Account]; known && weight != stream.Weight {
				t.Errorf("%s: %s has the weights %v and %v", file, stream.Account, weight, stream.Weight)
			}
			accounts[stream.Account] = stream.Weight
		}
		if len(accounts) != 16 {
			t.Errorf("%s: %d accounts, want 16", file, len(accounts))
		}
	}
}
