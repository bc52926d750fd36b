package settings

import (
	"regexp"
	"strings"
)

// Path names a node of the tree: segments joined by slashes, as in
// "acme/labs/alice". The root is "/".
type Path string

// Fixed paths of the tree.
const (
	Root         Path = "/"
	ServicesPath Path = "services" // holds the services and what they have in common
)

const separator = "/"

// NodeKind tells what a node of the tree stands for.
type NodeKind string

// The kinds of node.
const (
	NodeRoot         NodeKind = "root"
	NodeOrganisation NodeKind = "organisation"
	NodeTeam         NodeKind = "team"
	NodeAccount      NodeKind = "account"
	NodeServices     NodeKind = "services"
	NodeService      NodeKind = "service"
)

// Depths at which a node is an organisation or a team when it does not say
// otherwise by the key "node". Deeper nodes are client accounts.
const (
	organisationDepth = 1
	teamDepth         = 2
)

// segmentPattern is what one segment of a path looks like.
var segmentPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

const segmentRule = "segments of letters, digits, '.', '_' and '-', at most 64 long, joined by '/'"

// Valid reports whether the path is well formed.
func (p Path) Valid() bool {
	if p == Root {
		return true
	}
	for _, segment := range strings.Split(string(p), separator) {
		if !segmentPattern.MatchString(segment) {
			return false
		}
	}
	return true
}

// Parent returns the path one level up. The root is its own parent.
func (p Path) Parent() Path {
	end := strings.LastIndex(string(p), separator)
	if end <= 0 {
		return Root
	}
	return p[:end]
}

// Base returns the last segment.
func (p Path) Base() string {
	return string(p[strings.LastIndex(string(p), separator)+1:])
}

// Depth returns the number of segments; the root has none.
func (p Path) Depth() int {
	if p == Root {
		return 0
	}
	return strings.Count(string(p), separator) + 1
}

// Contains reports whether other is p itself or lies below it.
func (p Path) Contains(other Path) bool {
	if p == Root || p == other {
		return true
	}
	return len(other) > len(p) && other[len(p)] == separator[0] && other[:len(p)] == p
}

// rebase returns the path that p has after its ancestor from has moved to to.
func (p Path) rebase(from, to Path) Path {
	return to + p[len(from):]
}

// isService reports whether the path lies in the part of the tree that holds
// the services.
func (p Path) isService() bool { return ServicesPath.Contains(p) }
