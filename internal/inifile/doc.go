// Package inifile binds INI files to Go structs by field tags and reports all
// problems of a file together.
//
// Each field of the bound struct is a section: a struct, or a slice of structs
// for a section that may be repeated. The sections of an embedded struct without
// a section tag count as those of the outer struct. Each field of a section is a
// key.
//
//	type Config struct {
//		Log      LogSection       `section:"log" doc:"Log records."`
//		Accounts []AccountSection `section:"account.*"`
//	}
//
//	type AccountSection struct {
//		Name string        `name:"section"` // what the * matches in the section's name
//		Rate float64       `key:"rate" default:"10" min:"0" unit:"requests a second" doc:"Calls."`
//		Wait time.Duration `key:"wait" default:"2s" max:"1m"`
//		Kind string        `key:"kind" required:"true" oneof:"model|plain"`
//	}
//
// A key may be of kind string, bool, int, int64, uint64 or float64, a
// time.Duration, a fleet.Address, or a slice of fleet.Address or string. The
// elements of a slice are separated by commas.
package inifile
