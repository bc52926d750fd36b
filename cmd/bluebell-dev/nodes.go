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

// controlToken is the token of the control messages. It is valid in this process
// only.
const controlToken = "bluebell-dev"

// commonText renders the sections that all nodes share. The nodes are configured
// by INI text, so that they get the same defaults as with a file.
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

// addNode adds a node with the given configuration text.
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
	s.readiness = append(s.readiness, do.MustInvoke[*daemon.Readiness](injector))
	return nil
}
