package inifile

import (
	"os"
	"reflect"
	"strings"
	"unicode/utf8"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"
)

// loadOptions keep repeated keys, so that they can be reported instead of the
// last one silently winning, and keep values as they are written.
var loadOptions = ini.LoadOptions{
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
	PreserveEmptyShadowValues:  true,
	KeyValueDelimiters:         "=",
	IgnoreContinuation:         true,
	SpaceBeforeInlineComment:   true,
}

// Read binds the file at path to the struct that target points to. It returns
// an *Error with all problems of the file, also if it can't be read.
func Read(path string, target any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return &Error{File: path, Problems: []Problem{{Message: err.Error()}}}
	}
	return Parse(path, data, target)
}

// Parse binds the text of a file to the struct that target points to. Errors
// refer to the file by name. It returns an *Error with all problems.
func Parse(name string, data []byte, target any) error {
	if !utf8.Valid(data) {
		// Values go into messages between processes, which can't carry other text.
		return &Error{File: name, Problems: []Problem{{Message: "the text is not UTF-8"}}}
	}
	file, err := ini.LoadSources(loadOptions, data)
	if err != nil {
		return &Error{File: name, Problems: []Problem{{Message: errors.Wrap(err, "syntax").Error()}}}
	}
	b := binder{file: file, sections: sectionsOf(target)}
	b.bind()
	// Rules over several keys are only checked if each value is valid by itself;
	// otherwise one problem would be reported twice.
	if validator, ok := target.(Validator); ok && len(b.problems) == 0 {
		b.problems = validator.Validate()
	}
	if len(b.problems) > 0 {
		return &Error{File: name, Problems: b.problems}
	}
	return nil
}

// binder holds the state of one call of Parse.
type binder struct {
	file     *ini.File
	sections []section
	problems []Problem
}

func (b *binder) addProblem(section, key, problem string) {
	b.problems = append(b.problems, Problem{Section: section, Key: key, Message: problem})
}

func (b *binder) bind() {
	b.rejectUnknownSections()
	for _, s := range b.sections {
		if s.repeated {
			b.bindRepeated(s)
			continue
		}
		b.bindKeys(s.name, s.value)
	}
}

// rejectUnknownSections reports sections without a field, and keys before the
// first section.
func (b *binder) rejectUnknownSections() {
	for _, found := range b.file.Sections() {
		if found.Name() == ini.DefaultSection {
			for _, name := range found.KeyStrings() {
				b.addProblem("", "", "key "+name+" appears before the first section")
			}
			continue
		}
		if !b.known(found.Name()) {
			b.addProblem(found.Name(), "", "unknown section")
		}
	}
}

func (b *binder) known(name string) bool {
	for _, s := range b.sections {
		if s.repeated && strings.HasPrefix(name, s.name+".") || !s.repeated && s.name == name {
			return true
		}
	}
	return false
}

// bindRepeated appends one struct for each section with the prefix, in the order
// of the file.
func (b *binder) bindRepeated(s section) {
	for _, found := range b.file.Sections() {
		name, ok := strings.CutPrefix(found.Name(), s.name+".")
		if !ok {
			continue
		}
		element := reflect.New(s.value.Type().Elem()).Elem()
		setSectionName(element, name)
		b.bindKeys(found.Name(), element)
		s.value.Set(reflect.Append(s.value, element))
	}
}

// bindKeys binds one section. A section that the file lacks gets the defaults.
func (b *binder) bindKeys(sectionName string, structure reflect.Value) {
	found, err := b.file.GetSection(sectionName)
	if err != nil {
		found = ini.Empty().Section(sectionName)
	}
	keys := keysOf(structure)
	b.rejectUnknownKeys(sectionName, found, keys)
	for _, k := range keys {
		b.bindKey(sectionName, found, k)
	}
}

func (b *binder) rejectUnknownKeys(sectionName string, found *ini.Section, keys []key) {
	known := make(map[string]bool, len(keys))
	for _, k := range keys {
		known[k.name] = true
	}
	for _, name := range found.KeyStrings() {
		if !known[name] {
			b.addProblem(sectionName, name, "unknown key")
		}
	}
}

func (b *binder) bindKey(sectionName string, found *ini.Section, k key) {
	// The library's HasKey and GetKey also look into parent sections, so that
	// [account.a] would inherit values of [account].
	text, times := ownValue(found, k.name)
	if times > 1 {
		b.addProblem(sectionName, k.name, "set more than once")
	}
	if text == "" && k.required {
		b.addProblem(sectionName, k.name, "required")
		return
	}
	if text == "" {
		text = k.defaultValue
	}
	if text == "" {
		return
	}
	if err := k.set(text); err != nil {
		b.addProblem(sectionName, k.name, err.Error())
	}
}

// ownValue returns the value of a key and how many times the section sets it,
// without regard to parent sections.
func ownValue(found *ini.Section, name string) (text string, times int) {
	for _, k := range found.Keys() {
		if k.Name() == name {
			return k.Value(), len(k.ValueWithShadows())
		}
	}
	return "", 0
}
