package ctl

import (
	"github.com/jessevdk/go-flags"
)

// command is what each command struct implements: the flags are its fields.
type command interface {
	flags.Commander
	run(s *session) error
}

// base makes a command struct a flags.Commander. The parser calls run instead.
type base struct{}

// Execute implements flags.Commander.
func (base) Execute([]string) error { return nil }

// group is a name under which commands are found.
type group struct {
	name, short string
	commands    []entry
}

type entry struct {
	name, short string
	command     command
}

func groups() []group {
	return []group{
		{"settings", "Read and edit the settings tree", []entry{
			{"get", "Show the values in force at a node", &settingsGet{}},
			{"set", "Set values of a node", &settingsSet{}},
			{"unset", "Remove values of a node, or the node", &settingsUnset{}},
			{"move", "Move a node and all below it", &settingsMove{}},
			{"import", "Make the tree equal to a text form", &settingsImport{}},
			{"export", "Print the tree's text form", &settingsExport{}},
			{"diff", "Show what an import would change", &settingsDiff{}},
			{"explain", "Show where a value in force comes from", &settingsExplain{}},
			{"keys", "Describe the keys", &settingsKeys{}},
		}},
		{"account", "Manage client accounts and their API keys", []entry{
			{"add", "Create a client account and print its API key", &accountAdd{}},
			{"rotate-key", "Add an API key, or drop the older ones", &accountRotateKey{}},
			{"disable", "Refuse a client account's calls", &accountDisable{}},
			{"uses", "Show what accounts asked and got of late at all routers", &accountUses{}},
		}},
		{"router", "See to the routers on the platform", []entry{
			{"list", "Show the routers", &routerList{}},
			{"drain", "Let a router leave new callers to the others", &routerDrain{}},
			{"evacuations", "Show the evacuated availability zones and where that is in force", &evacuationList{}},
			{"orders", "Show who gave which order to a router, when and why", &routerOrders{}},
		}},
	}
}

func singles() []entry {
	return []entry{
		{"history", "Show who changed what, when and why", &history{}},
		{"rollout", "Wait until a revision is in force at all nodes", &rollout{}},
		{"status", "Show the nodes of the fleet", &status{}},
		{"drain", "Let a backend server take no new work", &drain{}},
		{"engines", "Show how fast the engines work, as a router knows it", &engineList{}},
		{"losses", "Tell from routers' logs what callers asked, were owed and got", &lossesCommand{}},
		{"explain", "Print one request's records, with what its routers believed", &explain{}},
	}
}

// newParser returns the parser of the whole command line.
func newParser(s *session) *flags.Parser {
	parser := flags.NewNamedParser("bluebellctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "Steers a bluebellchute fleet"
	mustGroup(parser.AddGroup("Global options", "", &s.options))
	for _, group := range groups() {
		parent := mustCommand(parser.AddCommand(group.name, group.short, "", &struct{}{}))
		for _, entry := range group.commands {
			mustCommand(parent.AddCommand(entry.name, entry.short, "", entry.command))
		}
	}
	for _, entry := range singles() {
		mustCommand(parser.AddCommand(entry.name, entry.short, "", entry.command))
	}
	parser.CommandHandler = func(found flags.Commander, _ []string) error {
		return found.(command).run(s)
	}
	return parser
}

func mustGroup(_ *flags.Group, err error) {
	if err != nil {
		panic(err) // a mistake in the tags of the options
	}
}

func mustCommand(added *flags.Command, err error) *flags.Command {
	if err != nil {
		panic(err) // a mistake in the tags of a command
	}
	return added
}
