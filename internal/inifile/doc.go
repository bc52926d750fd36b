// Package inifile binds INI files to Go structs by field tags and reports every
// mistake of a file at once.
//
// Each field of the bound struct is a section: a struct, or a slice of structs
// for sections that may come several times. An embedded struct without a
// section tag lends its own sections. Each field of a section is a key.
//
//	type Config struct {
//		Log      LogSection       `section:"log" doc:"Log records."`
//		Accounts []AccountSection `section:"account.*"`
//	}
//
//	type AccountSection struct {
//		Name string        `name:"section"` // what stands for the * in the section's name
//		Rate float64       `key:"rate" default:"10" min:"0" unit:"requests a second" doc:"Calls."`
//		Wait time.Duration `key:"wait" default:"2s" max:"1m"`
//		Kind string        `key:"kind" required:"true" oneof:"model|plain"`
//	}
//
// The types of keys are those of kind string, bool, int, int64, uint64 and
// float64, time.Duration, fleet.Address, and slices of fleet.Address or string,
// which are separated by commas.
package inifile
