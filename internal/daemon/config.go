package daemon

import (
	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// Common holds the configuration sections that all fleet nodes share. The
// configuration of each kind of node embeds it.
type Common struct {
	Node     NodeSection     `section:"node" doc:"This process and the VM that it runs on."`
	Platform PlatformSection `section:"platform" doc:"The platform's object API."`
	Control  ControlSection  `section:"control" doc:"Control messages between the nodes."`
	Peers    PeersSection    `section:"peers" doc:"Nodes to ask when the platform is down at the start."`
	Log      LogSection      `section:"log" doc:"Log records on standard error."`
}

// NodeSection holds a node's identity and location.
type NodeSection struct {
	VM      string        `key:"vm" required:"true" doc:"Name of the VM in the platform's list."`
	Zone    fleet.Zone    `key:"zone" required:"true" doc:"Availability zone."`
	Region  string        `key:"region" required:"true" doc:"Region of the availability zone."`
	Control fleet.Address `key:"control" required:"true" doc:"Control port: IP number and port that other nodes reach."`
	Data    fleet.Address `key:"data" required:"true" doc:"Data port: IP number and port."`
}

// PlatformSection holds the address of the platform.
type PlatformSection struct {
	Address fleet.Address `key:"address" required:"true" doc:"IP number and port of the object API."`
}

// ControlSection holds the control settings that all nodes of a fleet share.
type ControlSection struct {
	Token string `key:"token" required:"true" doc:"Secret that all nodes of the fleet share."`
}

// PeersSection lists nodes to contact when the platform is down at startup.
type PeersSection struct {
	Control []fleet.Address `key:"control" doc:"Control addresses, separated by commas."`
}

// LogSection holds the level and format of the log.
type LogSection struct {
	Level  string `key:"level" default:"info" oneof:"debug|info|warning|error" doc:"Least level that is written."`
	Format string `key:"format" default:"json" oneof:"json|text" doc:"Form of a record."`
}

// CommonConfig returns the common sections. It makes every configuration that
// embeds Common implement NodeConfig.
func (c *Common) CommonConfig() *Common { return c }

// NodeConfig is the configuration of a fleet node: a pointer to a struct that
// embeds Common and is bound by package inifile.
type NodeConfig interface {
	CommonConfig() *Common
}

// Self returns the node's description for its peers. service is empty for a router.
func (s NodeSection) Self(role fleet.Role, service fleet.Service) fleet.Node {
	return fleet.Node{
		VM:      s.VM,
		Role:    role,
		Control: s.Control,
		Data:    s.Data,
		Zone:    s.Zone,
		Region:  s.Region,
		Service: service,
		State:   fleet.VMLive,
	}
}
