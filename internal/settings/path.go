package settings

import (
	"regexp"
	"strings"
)

// Path identifies a node of the tree: segments joined by slashes, as in
// "acme/labs/alice". The root is "/".
type Path string

// Fixed paths of the tree.
const (
	Root         Path = "/"
	ServicesPath Path = "services" // parent of all services; its values apply to all of them
)

const separator = "/"

// NodeKind is the kind of a node: what it represents.
type NodeKind string

// The node kinds.
const (
	NodeRoot         NodeKind = "root"
	NodeOrganisation NodeKind = "organisation"
	NodeTeam         NodeKind = "team"
	NodeAccount      NodeKind = "account"
	NodeServices     NodeKind = "services"
	NodeService      NodeKind = "service"
)

// Depths at which a node is an organisation or a team, unless it sets the key
// "node". Deeper nodes are client accounts.
const (
	organisationDepth = 1
	teamDepth         = 2
)

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

// rebase returns the path of p after its ancestor from has moved to to.
func (p Path) rebase(from, to Path) Path {
	return to + p[len(from):]
}

// inServices reports whether the path is ServicesPath or below it.
func (p Path) inServices() bool { return ServicesPath.Contains(p) }
