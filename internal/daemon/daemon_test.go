package daemon

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/bluebellchute/bluebellchute/internal/control"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
	"github.com/bluebellchute/bluebellchute/internal/testaddr"
)

const validConfig = `[node]
vm = vm-1
zone = a
region = r
control = 127.0.0.1:9001
data = 127.0.0.1:9002
[platform]
address = 127.0.0.1:9000
[control]
token = secret
`

type testConfig struct{ Common }

func TestParseFlags(t *testing.T) {
	directory := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(directory, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	valid := write("valid.ini", validConfig)
	bad := write("bad.ini", "[node]\nvm = a\nzone = z\nregion = r\ncontrol = here:1\ndata = 127.0.0.1:2\n[log]\nlevel = loud\n")
	for _, test := range []struct {
		name   string
		args   []string
		want   ParseResult
		stdout []string
		stderr []string
	}{
		{name: "run", args: []string{"--config", valid}, want: ParseResult{ConfigPath: valid}},
		{name: "check", args: []string{"--config", valid, "--check-config"}, want: ParseResult{Exit: true, ExitStatus: ExitSuccess}},
		{name: "bad", args: []string{"--config", bad}, want: ParseResult{Exit: true, ExitStatus: ExitBadConfig}, stderr: []string{
			"[node] control: ", "[platform] address: required", "[control] token: required", "[log] level: ",
		}},
		{name: "no file", args: []string{"--config", bad + "x"}, want: ParseResult{Exit: true, ExitStatus: ExitBadConfig}, stderr: []string{"no such file"}},
		{name: "no flag", args: nil, want: ParseResult{Exit: true, ExitStatus: ExitBadConfig}, stderr: []string{"--config is required"}},
		{name: "unknown flag", args: []string{"--colour"}, want: ParseResult{Exit: true, ExitStatus: ExitBadConfig}, stderr: []string{"colour"}},
		{name: "stray argument", args: []string{"start"}, want: ParseResult{Exit: true, ExitStatus: ExitBadConfig}, stderr: []string{`"start"`}},
		{name: "version", args: []string{"--version"}, want: ParseResult{Exit: true, ExitStatus: ExitSuccess}, stdout: []string{"bluebell-test " + release}},
		{name: "print", args: []string{"--config", valid, "--print-config"}, want: ParseResult{Exit: true, ExitStatus: ExitSuccess}, stdout: []string{"level = info"}},
		{name: "print defaults", args: []string{"--print-config"}, want: ParseResult{Exit: true, ExitStatus: ExitSuccess}, stdout: []string{"level = info"}},
		{name: "help", args: []string{"--help"}, want: ParseResult{Exit: true, ExitStatus: ExitSuccess}, stdout: []string{"--check-config"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			got := ParseFlags("bluebell-test", test.args, new(testConfig), &stdout, &stderr)
			if got != test.want {
				t.Errorf("result %+v, want %+v", got, test.want)
			}
			assertContainsAll(t, "stdout", stdout.String(), test.stdout)
			assertContainsAll(t, "stderr", stderr.String(), test.stderr)
		})
	}
}

func assertContainsAll(t *testing.T, stream, text string, substrings []string) {
	t.Helper()
	for _, substring := range substrings {
		if !strings.Contains(text, substring) {
			t.Errorf("%s lacks %q:\n%s", stream, substring, text)
		}
	}
}

// fakeService is a Service whose draining and failure the test controls.
type fakeService struct {
	draining chan struct{}
	drained  chan error
	failed   chan error
}

func newFakeService() *fakeService {
	return &fakeService{make(chan struct{}), make(chan error, 1), make(chan error, 1)}
}

func (s *fakeService) Run(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case err := <-s.failed:
		return err
	}
}

func (s *fakeService) Drain(ctx context.Context) error {
	close(s.draining)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case err := <-s.drained:
		return err
	}
}

func TestRunEnds(t *testing.T) {
	failure := errors.New("failure")
	for _, test := range []struct {
		name string
		act  func(s *fakeService, signals chan<- os.Signal)
		want error
	}{
		{"drained", func(s *fakeService, signals chan<- os.Signal) {
			signals <- syscall.SIGTERM
			<-s.draining
			s.drained <- nil
		}, nil},
		{"second signal", func(s *fakeService, signals chan<- os.Signal) {
			signals <- syscall.SIGTERM
			<-s.draining
			signals <- syscall.SIGINT
		}, ErrInterrupted},
		{"interrupt after a repeated signal", func(s *fakeService, signals chan<- os.Signal) {
			signals <- syscall.SIGTERM
			<-s.draining
			signals <- syscall.SIGTERM
			signals <- syscall.SIGINT
		}, ErrInterrupted},
		// A repeated SIGTERM must not abort requests in progress: a supervisor
		// may send it twice during a planned stop.
		{"repeated signal", func(s *fakeService, signals chan<- os.Signal) {
			signals <- syscall.SIGTERM
			<-s.draining
			signals <- syscall.SIGTERM
			time.Sleep(20 * time.Millisecond)
			s.drained <- nil
		}, nil},
		{"run fails", func(s *fakeService, _ chan<- os.Signal) { s.failed <- failure }, failure},
		{"run fails while draining", func(s *fakeService, signals chan<- os.Signal) {
			signals <- syscall.SIGTERM
			<-s.draining
			s.failed <- failure
		}, failure},
		{"drain fails", func(s *fakeService, signals chan<- os.Signal) {
			signals <- syscall.SIGTERM
			<-s.draining
			s.drained <- failure
		}, failure},
	} {
		t.Run(test.name, func(t *testing.T) {
			logger := quietLogger()
			service := newFakeService()
			signals := make(chan os.Signal, 2)
			go test.act(service, signals)
			err := Run(context.Background(), service, signals, logger)
			if !errors.Is(err, test.want) {
				t.Errorf("error %v, want %v", err, test.want)
			}
		})
	}
}

func quietLogger() logrus.FieldLogger {
	logger, _ := test.NewNullLogger()
	return logger
}

// TestNodeAnswersWhileDraining checks that a draining node replies to its peers
// and reports that it isn't ready until its work in progress has finished.
func TestNodeAnswersWhileDraining(t *testing.T) {
	address := fleet.Address(testaddr.Free(t))
	config := &Common{Node: NodeSection{Control: address}, Control: ControlSection{Token: "secret"}}
	logger := quietLogger()
	injector := NewInjector(config, logger)
	service := newFakeService()
	do.ProvideValue[Service](injector, service)
	node, err := NewNode(injector)
	if err != nil {
		t.Fatal(err)
	}
	if err := do.MustInvoke[*control.Server](injector).Listen(); err != nil {
		t.Fatal(err)
	}
	readiness := do.MustInvoke[*Readiness](injector)
	readiness.SetReady()
	signals := make(chan os.Signal, 2)
	ended := make(chan error)
	go func() { ended <- Run(context.Background(), node, signals, logger) }()
	signals <- syscall.SIGTERM
	<-service.draining
	if reason := readiness.NotReady(); reason != "draining" {
		t.Errorf("reason %q for not being ready, want draining", reason)
	}
	if err := reach(injector, address); err != nil {
		t.Errorf("a draining node does not reply: %v", err)
	}
	service.drained <- nil
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// reach calls the node. A 404 counts as a reply, since the test registers no Peer
// service.
func reach(injector do.Injector, address fleet.Address) error {
	pool := do.MustInvoke[*control.Pool](injector)
	_, err := pool.Peer(address).Status(context.Background(), &rpc.StatusRequest{})
	if err != nil && strings.Contains(err.Error(), "404") {
		return nil
	}
	return err
}

// Guards against a router that the load balancer never takes out of rotation while it
// drains, because it became ready at the moment of the stop signal.
func TestDrainingNodeNeverBecomesReadyAgain(t *testing.T) {
	const (
		tries    = 5000
		setters  = 4
		setTimes = 50
	)
	for range tries {
		readiness := NewReadiness()
		var group sync.WaitGroup
		for range setters {
			group.Go(func() {
				for range setTimes {
					readiness.SetReady()
				}
			})
		}
		readiness.SetDraining()
		group.Wait()
		if readiness.NotReady() == "" {
			t.Fatal("the node is ready although it drains")
		}
	}
}
