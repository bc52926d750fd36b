package ctl

import (
	"strings"

	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/settings"
)

// settingsKeys describes the keys of the settings.
type settingsKeys struct{ commandBase }

// keyJSON is the description of a key in the JSON output.
type keyJSON struct {
	Name      settings.KeyName    `json:"name"`
	Type      settings.ValueType  `json:"type"`
	Unit      string              `json:"unit,omitempty"`
	Default   string              `json:"default,omitempty"`
	Allowed   string              `json:"allowed"`
	Nodes     []settings.NodeKind `json:"nodes"`
	Inherited bool                `json:"inherited"`
	Doc       string              `json:"doc"`
}

func (c *settingsKeys) run(s *session) error {
	rows := &table{columns: []string{"KEY", "DEFAULT", "UNIT", "ALLOWED", "MAY STAND AT", "MEANING"}}
	var shown []keyJSON
	for _, key := range settings.Keys() {
		rows.add(keyCells(key)...)
		shown = append(shown, keyJSON{
			Name: key.Name, Type: key.Type, Unit: key.Unit, Default: key.Default, Allowed: key.Allowed(),
			Nodes: key.NodeKinds, Inherited: key.Inherited, Doc: key.Doc,
		})
	}
	return s.show(shown, rows)
}

func keyCells(key settings.Key) []string {
	nodes := lo.Map(key.NodeKinds, func(kind settings.NodeKind, _ int) string { return string(kind) })
	return []string{string(key.Name), orDash(key.Default), orDash(key.Unit), key.Allowed(), strings.Join(nodes, ", "), key.Doc}
}
