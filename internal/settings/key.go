package settings

import (
	"slices"
	"strconv"
	"strings"
)

// KeyName names a setting.
type KeyName string

// ValueType tells how the text of a value is read.
type ValueType string

// The types of value.
const (
	TypeInteger  ValueType = "integer"
	TypeNumber   ValueType = "number"
	TypeBytes    ValueType = "bytes"    // an integer, which may end in KiB, MiB or GiB
	TypeDuration ValueType = "duration" // as in 250ms, 30s, 1h30m
	TypeBoolean  ValueType = "boolean"  // true or false
	TypeChoice   ValueType = "choice"
	TypeHashes   ValueType = "hashes" // SHA-256 in hexadecimal, separated by commas
)

// Key describes one setting of the registry.
type Key struct {
	Name      KeyName
	Type      ValueType
	Unit      string     // empty when the value has none
	Default   string     // in force where no node sets the key; empty when there is none
	Min, Max  float64    // allowed range; durations in seconds
	Choices   []string   // for TypeChoice
	NodeKinds []NodeKind // kinds of node that may set it
	Inherited bool       // in force below the node that sets it
	Doc       string

	// account and service return the field that the value goes to, or are
	// nil when the key is not part of that policy.
	account func(*AccountPolicy) any
	service func(*ServicePolicy) any
}

// Names of the keys that code refers to.
const (
	KeyNode              KeyName = "node"
	KeyAPIKey            KeyName = "api_key_sha256"
	KeyDisabled          KeyName = "disabled"
	KeyWeight            KeyName = "weight"
	KeyDefaultDeadline   KeyName = "default_deadline"
	KeyMaxDeadline       KeyName = "max_deadline"
	KeySilenceTimeout    KeyName = "silence_timeout"
	KeyHeartbeatInterval KeyName = "heartbeat_interval"
)

// Keys lists the registry in the order in which values are exported.
func Keys() []Key { return slices.Clone(registry) }

// LookupKey returns the description of a key.
func LookupKey(name KeyName) (Key, bool) {
	index, ok := registryIndex[name]
	if !ok {
		return Key{}, false
	}
	return registry[index], true
}

// AllowedAt reports whether nodes of a kind may set the key.
func (k Key) AllowedAt(kind NodeKind) bool { return slices.Contains(k.NodeKinds, kind) }

// Allowed describes the values that the key takes.
func (k Key) Allowed() string {
	switch k.Type {
	case TypeChoice:
		return "one of " + strings.Join(k.Choices, ", ")
	case TypeBoolean:
		return "true or false"
	case TypeHashes:
		return "SHA-256 hashes of 64 hexadecimal digits, separated by commas, at most " + strconv.Itoa(maxKeyHashes)
	case TypeDuration:
		return "a duration from " + formatSeconds(k.Min) + " to " + formatSeconds(k.Max)
	default:
		return string(k.Type) + " from " + formatNumber(k.Min) + " to " + formatNumber(k.Max)
	}
}

// order gives a key's place in the registry; unknown keys come last.
func (n KeyName) order() int {
	index, ok := registryIndex[n]
	if !ok {
		return len(registry)
	}
	return index
}

var registryIndex = indexRegistry()

func indexRegistry() map[KeyName]int {
	index := make(map[KeyName]int, len(registry))
	for place, key := range registry {
		index[key.Name] = place
	}
	return index
}
