// Package daemon is the framework that all daemons share: flags, configuration,
// logging, signals, readiness, the control port and dependency injection.
//
// The main function of a fleet node calls Main with a function that provides
// the node's components:
//
//	func main() {
//		os.Exit(daemon.Main("bluebell-agent", new(agent.Config), wire))
//	}
//
//	func wire(injector do.Injector) {
//		do.Provide(injector, newService)
//	}
//
//	func newService(injector do.Injector) (daemon.Service, error) {
//		shell := agent.New(do.MustInvoke[*agent.Config](injector), do.MustInvoke[*control.Pool](injector))
//		do.MustInvoke[*control.Server](injector).Register(rpc.NewAgentServer(shell))
//		return shell, nil
//	}
//
// where agent.Config embeds Common and adds sections of its own. The service
// calls SetReady on the injector's *Readiness once it can accept work.
//
// Processes that aren't fleet nodes use ParseFlags, NewLogger and RunUntilSignal.
package daemon
