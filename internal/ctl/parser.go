package ctl

import (
	"github.com/jessevdk/go-flags"
)

// command is implemented by each command struct. The struct's fields are its flags.
type command interface {
	flags.Commander
	run(s *session) error
}

// commandBase implements flags.Commander for a command struct that embeds it. The
// parser's CommandHandler calls run instead of Execute.
type commandBase struct{}

// Execute implements flags.Commander.
func (commandBase) Execute([]string) error { return nil }

// commandGroup is a command with subcommands.
type commandGroup struct {
	name, short string
	commands    []commandEntry
}

type commandEntry struct {
	name, short string
	command     command
}

func commandGroups() []commandGroup {
	return []commandGroup{
		{"settings", "Read and edit the settings tree", []commandEntry{
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
		{"account", "Manage client accounts and their API keys", []commandEntry{
			{"add", "Create a client account and print its API key", &accountAdd{}},
			{"rotate-key", "Add an API key, or remove the older ones", &accountRotateKey{}},
			{"disable", "Refuse a client account's calls", &accountDisable{}},
			{"uses", "Show what accounts recently requested and were granted at all routers", &accountUsesCommand{}},
		}},
		{"router", "Manage the routers on the platform", []commandEntry{
			{"list", "Show the routers", &routerList{}},
			{"drain", "Drain a router: new callers go to the other routers", &routerDrain{}},
			{"evacuations", "Show the evacuated availability zones and how many routers apply the order", &evacuationList{}},
			{"segments", "Show the prompt segments that are refused because they crash backend servers", &segmentList{}},
			{"clear-segment", "Let requests with a refused prompt segment be sent again", &segmentClear{}},
			{"stored", "Show what routers keep in the store for the case that all start at once", &storedList{}},
			{"orders", "Show the orders given to routers: who, when and why", &routerOrders{}},
		}},
	}
}

func topLevelCommands() []commandEntry {
	return []commandEntry{
		{"history", "Show who changed what, when and why", &history{}},
		{"rollout", "Wait until a revision is in force at all nodes", &rollout{}},
		{"status", "Show the nodes of the fleet", &status{}},
		{"drain", "Stop a backend server from accepting new work", &drain{}},
		{"engines", "Show the work times of the engines, as a router knows them", &engineList{}},
		{"losses", "Summarize from router logs what callers requested, were owed and were granted", &lossesCommand{}},
		{"explain", "Print the log records of one request and the state that its routers assumed", &explain{}},
	}
}

// newParser returns the parser of the whole command line.
func newParser(s *session) *flags.Parser {
	parser := flags.NewNamedParser("bluebellctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "Controls a bluebellchute fleet"
	mustGroup(parser.AddGroup("Global options", "", &s.options))
	for _, group := range commandGroups() {
		parent := mustCommand(parser.AddCommand(group.name, group.short, "", &struct{}{}))
		for _, entry := range group.commands {
			mustCommand(parent.AddCommand(entry.name, entry.short, "", entry.command))
		}
	}
	for _, entry := range topLevelCommands() {
		mustCommand(parser.AddCommand(entry.name, entry.short, "", entry.command))
	}
	parser.CommandHandler = func(found flags.Commander, _ []string) error {
		return found.(command).run(s)
	}
	return parser
}

func mustGroup(_ *flags.Group, err error) {
	if err != nil {
		panic(err) // invalid struct tags of the options
	}
}

func mustCommand(added *flags.Command, err error) *flags.Command {
	if err != nil {
		panic(err) // invalid struct tags of a command
	}
	return added
}
