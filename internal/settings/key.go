package settings

import (
	"slices"
	"strconv"
	"strings"
)

// KeyName names a setting.
type KeyName string

// ValueType determines how the text of a value is parsed.
type ValueType string

// The value types.
const (
	TypeInteger  ValueType = "integer"
	TypeNumber   ValueType = "number"
	TypeBytes    ValueType = "bytes"    // an integer, optionally with the suffix KiB, MiB or GiB
	TypeDuration ValueType = "duration" // as in 250ms, 30s, 1h30m
	TypeBoolean  ValueType = "boolean"  // true or false
	TypeChoice   ValueType = "choice"
	TypeHashes   ValueType = "hashes" // SHA-256 in hexadecimal, separated by commas
)

// Key describes a setting in the registry.
type Key struct {
	Name      KeyName
	Type      ValueType
	Unit      string     // empty if the value has none
	Default   string     // used where no node sets the key; empty if there is none
	Min, Max  float64    // allowed range, inclusive; durations in seconds
	Choices   []string   // for TypeChoice
	NodeKinds []NodeKind // node kinds that may set it
	Inherited bool       // whether it also applies below the node that sets it
	Doc       string

	// account and service return a pointer to the policy field for the value;
	// they are nil if the key is not part of that policy.
	account func(*AccountPolicy) any
	service func(*ServicePolicy) any
}

// Names of the keys that the code refers to.
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

// Keys lists all keys in registry order, in which values are also exported.
func Keys() []Key { return slices.Clone(registry) }

// LookupKey returns the description of a key.
func LookupKey(name KeyName) (Key, bool) {
	index, ok := registryIndex[name]
	if !ok {
		return Key{}, false
	}
	return registry[index], true
}

// AllowedAt reports whether nodes of the given kind may set the key.
func (k Key) AllowedAt(kind NodeKind) bool { return slices.Contains(k.NodeKinds, kind) }

// Allowed describes the allowed values of the key.
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

// registryPosition returns the key's index in the registry; unknown keys come last.
func (n KeyName) registryPosition() int {
	index, ok := registryIndex[n]
	if !ok {
		return len(registry)
	}
	return index
}

var registryIndex = indexRegistry()

func indexRegistry() map[KeyName]int {
	index := make(map[KeyName]int, len(registry))
	for i, key := range registry {
		index[key.Name] = i
	}
	return index
}
