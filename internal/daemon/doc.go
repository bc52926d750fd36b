// Package daemon is the frame of all daemons: flags, configuration, logs,
// signals, readiness, the control port, and the wiring of their parts.
//
// The main function of a fleet node is one call of Main with the wiring of
// its parts:
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
// calls SetReady of the injector's *Readiness once it can take work.
//
// Processes that are no node use ParseFlags, NewLogger and RunToExit.
package daemon
