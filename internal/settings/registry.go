package settings

// Node kinds that may set the keys of client accounts and of services. The root
// may set both, for the whole fleet.
var (
	accountNodes = []NodeKind{NodeRoot, NodeOrganisation, NodeTeam, NodeAccount}
	serviceNodes = []NodeKind{NodeRoot, NodeServices, NodeService}
	allNodes     = []NodeKind{NodeRoot, NodeOrganisation, NodeTeam, NodeAccount, NodeServices, NodeService}
)

// Bounds of values, in the units of their keys; durations in seconds.
const (
	minWeight       = 0.001
	maxWeight       = 1e6
	maxCount        = 1e6
	maxBytes        = 1 << 40
	oneDay          = 24 * 3600
	maxCost         = 1e9
	tenMilliseconds = 0.01
	oneMillisecond  = 0.001
	oneMinute       = 60
	maxHomes        = 64
	maxBodyBytes    = 1 << 30
)

// registry lists all keys. To add a key, add it here and a field to a policy.
var registry = []Key{
	{
		Name: KeyNode, Type: TypeChoice,
		Choices:   []string{string(NodeOrganisation), string(NodeTeam), string(NodeAccount)},
		NodeKinds: []NodeKind{NodeOrganisation, NodeTeam, NodeAccount},
		Doc:       "What the node stands for. Without it the first level is an organisation, the second a team, deeper ones client accounts.",
	},
	{
		Name: KeyWeight, Type: TypeNumber, Default: "1", Min: minWeight, Max: maxWeight,
		NodeKinds: accountNodes, Inherited: true,
		Doc:     "Share of capacity relative to other client accounts.",
		account: func(p *AccountPolicy) any { return &p.Weight },
	},
	{
		Name: "queue_requests", Type: TypeInteger, Unit: "requests", Default: "1000", Min: 1, Max: maxCount,
		NodeKinds: accountNodes, Inherited: true,
		Doc:     "Requests of a client account that wait at one router at most.",
		account: func(p *AccountPolicy) any { return &p.QueueRequests },
	},
	{
		Name: "queue_bytes", Type: TypeBytes, Unit: "bytes", Default: "64MiB", Min: 1, Max: maxBytes,
		NodeKinds: accountNodes, Inherited: true,
		Doc:     "Bytes of a client account's waiting requests at one router at most.",
		account: func(p *AccountPolicy) any { return &p.QueueBytes },
	},
	{
		Name: "rate_limit", Type: TypeNumber, Unit: "requests per second", Default: "0", Min: 0, Max: maxCount,
		NodeKinds: accountNodes, Inherited: true,
		Doc:     "Requests a second that one router takes from a client account; 0 is no limit.",
		account: func(p *AccountPolicy) any { return &p.RateLimit },
	},
	{
		Name: KeyDefaultDeadline, Type: TypeDuration, Default: "60s", Min: tenMilliseconds, Max: oneDay,
		NodeKinds: allNodes, Inherited: true,
		Doc:     "Deadline of a request whose caller names none.",
		account: func(p *AccountPolicy) any { return &p.DefaultDeadline },
		service: func(p *ServicePolicy) any { return &p.DefaultDeadline },
	},
	{
		Name: KeyMaxDeadline, Type: TypeDuration, Default: "30m", Min: tenMilliseconds, Max: oneDay,
		NodeKinds: accountNodes, Inherited: true,
		Doc:     "Longest deadline; a longer one is cut to it.",
		account: func(p *AccountPolicy) any { return &p.MaxDeadline },
	},
	{
		Name: "retry_budget", Type: TypeNumber, Unit: "retries per request", Default: "0.1", Min: 0, Max: 1,
		NodeKinds: accountNodes, Inherited: true,
		Doc:     "Retries that the fleet makes per request, as a long-run ratio.",
		account: func(p *AccountPolicy) any { return &p.RetryBudget },
	},
	{
		Name: KeyDisabled, Type: TypeBoolean, Default: "false",
		NodeKinds: accountNodes, Inherited: true,
		Doc:     "Calls of the client accounts are refused.",
		account: func(p *AccountPolicy) any { return &p.Disabled },
	},
	{
		Name: KeyAPIKey, Type: TypeHashes, NodeKinds: []NodeKind{NodeAccount},
		Doc: "SHA-256 hashes of the client account's API keys; several while a key is rotated.",
	},
	{
		Name: "kind", Type: TypeChoice, Default: string(KindModel),
		Choices:   []string{string(KindModel), string(KindPlain)},
		NodeKinds: serviceNodes, Inherited: true,
		Doc:     "How the backend servers are spoken to.",
		service: func(p *ServicePolicy) any { return &p.Kind },
	},
	{
		Name: "share", Type: TypeChoice, Default: string(ShareFleet),
		Choices:   []string{string(ShareFleet), string(ShareAgentLocal), string(ShareRouterLocal)},
		NodeKinds: serviceNodes, Inherited: true,
		Doc:     "Who decides which client account is served next.",
		service: func(p *ServicePolicy) any { return &p.Share },
	},
	{
		Name: "idempotent", Type: TypeBoolean, Default: "false",
		NodeKinds: serviceNodes, Inherited: true,
		Doc:     "Calls may be repeated unless the caller says otherwise.",
		service: func(p *ServicePolicy) any { return &p.Idempotent },
	},
	{
		Name: "slots", Type: TypeInteger, Default: "0", Min: 0, Max: maxCount,
		NodeKinds: serviceNodes, Inherited: true,
		Doc:     "Requests that run at once on a backend server; 0 takes what the server reports.",
		service: func(p *ServicePolicy) any { return &p.Slots },
	},
	{
		Name: "prompt_cost", Type: TypeNumber, Unit: "cost units per prompt token", Default: "0.5", Min: 0, Max: maxCost,
		NodeKinds: serviceNodes, Inherited: true,
		Doc:     "Charge for a prompt token.",
		service: func(p *ServicePolicy) any { return &p.PromptCost },
	},
	{
		Name: "token_cost", Type: TypeNumber, Unit: "cost units per generated token", Default: "1", Min: 0, Max: maxCost,
		NodeKinds: serviceNodes, Inherited: true,
		Doc:     "Charge for a generated token.",
		service: func(p *ServicePolicy) any { return &p.TokenCost },
	},
	{
		Name: "millisecond_cost", Type: TypeNumber, Unit: "cost units per millisecond", Default: "1", Min: 0, Max: maxCost,
		NodeKinds: serviceNodes, Inherited: true,
		Doc:     "Charge for a millisecond of a plain call.",
		service: func(p *ServicePolicy) any { return &p.MillisecondCost },
	},
	{
		Name: "max_request_bytes", Type: TypeBytes, Unit: "bytes", Default: "4MiB", Min: 1, Max: maxBodyBytes,
		NodeKinds: serviceNodes, Inherited: true,
		Doc:     "Largest body of a request.",
		service: func(p *ServicePolicy) any { return &p.MaxRequestBytes },
	},
	{
		Name: "max_answer_bytes", Type: TypeBytes, Unit: "bytes", Default: "16MiB", Min: 1, Max: maxBodyBytes,
		NodeKinds: serviceNodes, Inherited: true,
		Doc:     "Largest body of an answer.",
		service: func(p *ServicePolicy) any { return &p.MaxAnswerBytes },
	},
	{
		Name: "answer_retention", Type: TypeDuration, Default: "60s", Min: 1, Max: oneDay,
		NodeKinds: serviceNodes, Inherited: true,
		Doc:     "How long an agent keeps an answer that nobody acknowledges.",
		service: func(p *ServicePolicy) any { return &p.AnswerRetention },
	},
	{
		Name: "repayment_window", Type: TypeNumber, Unit: "cost units", Default: "10000", Min: 1, Max: maxCost,
		NodeKinds: serviceNodes, Inherited: true,
		Doc:     "How far a client account of the mean weight may lie from its share after a jump; the rest is forgiven.",
		service: func(p *ServicePolicy) any { return &p.RepaymentWindow },
	},
	{
		Name: "report_interval", Type: TypeDuration, Default: "1s", Min: tenMilliseconds, Max: oneMinute,
		NodeKinds: serviceNodes, Inherited: true,
		Doc:     "Time between an agent's tally reports; longer in a service of more than 60 agents.",
		service: func(p *ServicePolicy) any { return &p.ReportInterval },
	},
	{
		Name: "homes", Type: TypeInteger, Unit: "agents", Default: "3", Min: 1, Max: maxHomes,
		NodeKinds: serviceNodes, Inherited: true,
		Doc:     "Home agents of the service, which add up the charges.",
		service: func(p *ServicePolicy) any { return &p.Homes },
	},
	{
		Name: "offer_subset", Type: TypeInteger, Unit: "agents", Default: "4", Min: 1, Max: maxCount,
		NodeKinds: serviceNodes, Inherited: true,
		Doc:     "Agents that a router offers waiting work to at first.",
		service: func(p *ServicePolicy) any { return &p.OfferSubset },
	},
	{
		Name: "widen_interval", Type: TypeDuration, Default: "100ms", Min: oneMillisecond, Max: oneMinute,
		NodeKinds: serviceNodes, Inherited: true,
		Doc:     "Time after which a router doubles its subset of agents while requests wait.",
		service: func(p *ServicePolicy) any { return &p.WidenInterval },
	},
	{
		Name: "grant_lease", Type: TypeDuration, Default: "500ms", Min: tenMilliseconds, Max: oneMinute,
		NodeKinds: serviceNodes, Inherited: true,
		Doc:     "Time after which an unused grant lapses.",
		service: func(p *ServicePolicy) any { return &p.GrantLease },
	},
	{
		Name: KeySilenceTimeout, Type: TypeDuration, Default: "1200ms", Min: tenMilliseconds, Max: oneMinute,
		NodeKinds: serviceNodes, Inherited: true,
		Doc:     "Time without a frame after which a connection is given up.",
		service: func(p *ServicePolicy) any { return &p.SilenceTimeout },
	},
	{
		Name: KeyHeartbeatInterval, Type: TypeDuration, Default: "400ms", Min: oneMillisecond, Max: oneMinute,
		NodeKinds: serviceNodes, Inherited: true,
		Doc:     "Time between frames of an answer that makes no progress.",
		service: func(p *ServicePolicy) any { return &p.HeartbeatInterval },
	},
}
