package main

import (
	"fmt"

	"github.com/samber/do/v2"

	"github.com/bluebellchute/bluebellchute/cmd/internal/wiring"
	"github.com/bluebellchute/bluebellchute/internal/agent"
	"github.com/bluebellchute/bluebellchute/internal/daemon"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/inifile"
	"github.com/bluebellchute/bluebellchute/internal/router"
)

// controlToken is the secret of the control messages. It opens nothing but this
// process.
const controlToken = "bluebell-dev"

// commonText renders the sections that all nodes share. The nodes are
// configured by INI text, so that they take the defaults that a file gives.
func (s *sample) commonText(control, data fleet.Address) string {
	return fmt.Sprintf(`[node]
vm = vm-%d
zone = laptop
region = home
control = %s
data = %s
[platform]
address = %s
[control]
token = %s
`, len(s.nodes)+1, control, data, s.welcome.Platform, controlToken)
}

func (s *sample) addRouter(callers fleet.Address) error {
	control, err := s.addresses.next()
	if err != nil {
		return err
	}
	s.welcome.Control = control
	return addNode(s, new(router.Config), s.commonText(control, callers), wiring.Router)
}

func (s *sample) addAgent(service fleet.Service, backend fleet.Address) error {
	control, err := s.addresses.next()
	if err != nil {
		return err
	}
	data, err := s.addresses.next()
	if err != nil {
		return err
	}
	text := s.commonText(control, data) + fmt.Sprintf("[backend]\nservice = %s\naddress = %s\n", service, backend)
	return addNode(s, new(agent.Config), text, wiring.Agent)
}

// addNode makes a node of a role from the text of its configuration.
func addNode[C daemon.NodeConfig](s *sample, config C, text string, wire daemon.Wire) error {
	if err := inifile.Parse("bluebell-dev", []byte(text), config); err != nil {
		return err
	}
	common := config.CommonConfig()
	injector := daemon.NewInjector(common, s.logger.WithField("node", common.Node.Control))
	do.ProvideValue(injector, config)
	wire(injector)
	node, err := daemon.NewNode(injector)
	if err != nil {
		return err
	}
	s.nodes = append(s.nodes, node)
	s.ready = append(s.ready, do.MustInvoke[*daemon.Readiness](injector))
	return nil
}
