package inifile

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

var (
	addressType  = reflect.TypeFor[fleet.Address]()
	durationType = reflect.TypeFor[time.Duration]()
)

// set parses the text, checks it and stores it in the key's field.
func (k key) set(text string) error {
	if len(k.oneOf) > 0 && !slices.Contains(k.oneOf, text) {
		return errors.Errorf("%q is not one of %s", text, strings.Join(k.oneOf, ", "))
	}
	if k.value.Kind() == reflect.Slice {
		return setSlice(k.value, text)
	}
	parsed, err := parse(k.value.Type(), text)
	if err != nil {
		return err
	}
	if err := k.checkRange(parsed); err != nil {
		return err
	}
	k.value.Set(parsed)
	return nil
}

// setSlice parses and stores comma-separated values.
func setSlice(slice reflect.Value, text string) error {
	parts := lo.FilterMap(strings.Split(text, ","), func(part string, _ int) (string, bool) {
		part = strings.TrimSpace(part)
		return part, part != ""
	})
	values := reflect.MakeSlice(slice.Type(), 0, len(parts))
	for _, part := range parts {
		parsed, err := parse(slice.Type().Elem(), part)
		if err != nil {
			return err
		}
		values = reflect.Append(values, parsed)
	}
	slice.Set(values)
	return nil
}

// parse returns the text as a value of the type.
func parse(target reflect.Type, text string) (reflect.Value, error) {
	value := reflect.New(target).Elem()
	switch {
	case target == addressType:
		address, err := fleet.ParseAddress(text)
		value.SetString(string(address))
		return value, err
	case target == durationType:
		duration, err := time.ParseDuration(text)
		value.SetInt(int64(duration))
		return value, formatError(err, text, "a duration such as 250ms, 2s or 10m")
	}
	return parseKind(value, text)
}

func parseKind(value reflect.Value, text string) (reflect.Value, error) {
	switch value.Kind() {
	case reflect.String:
		value.SetString(text)
		return value, nil
	case reflect.Bool:
		parsed, err := strconv.ParseBool(text)
		value.SetBool(parsed)
		return value, formatError(err, text, "true or false")
	case reflect.Int, reflect.Int64:
		parsed, err := strconv.ParseInt(text, 10, 64)
		value.SetInt(parsed)
		return value, formatError(err, text, "a whole number")
	case reflect.Uint64:
		parsed, err := strconv.ParseUint(text, 10, 64)
		value.SetUint(parsed)
		return value, formatError(err, text, "a whole number that is not negative")
	case reflect.Float64:
		parsed, err := strconv.ParseFloat(text, 64)
		if err == nil && parsed-parsed != 0 {
			err = errors.New("not finite")
		}
		value.SetFloat(parsed)
		return value, formatError(err, text, "a finite number")
	default:
		panic(fmt.Sprintf("inifile: type %s is not supported for a key", value.Type()))
	}
}

// formatError returns an error that names the allowed format, or nil if err is nil.
func formatError(err error, text, allowed string) error {
	if err == nil {
		return nil
	}
	return errors.Errorf("%q is not %s", text, allowed)
}

// checkRange checks a value against the tags min and max.
func (k key) checkRange(value reflect.Value) error {
	if k.min != "" && compare(value, mustParse(value.Type(), k.min)) < 0 {
		return errors.Errorf("%s is below the minimum %s", format(value), k.min)
	}
	if k.max != "" && compare(value, mustParse(value.Type(), k.max)) > 0 {
		return errors.Errorf("%s is above the maximum %s", format(value), k.max)
	}
	return nil
}

func mustParse(target reflect.Type, text string) reflect.Value {
	value, err := parse(target, text)
	if err != nil {
		panic(fmt.Sprintf("inifile: invalid tag: %v", err))
	}
	return value
}

func compare(a, b reflect.Value) int {
	switch {
	case a.CanInt():
		return cmp.Compare(a.Int(), b.Int())
	case a.CanUint():
		return cmp.Compare(a.Uint(), b.Uint())
	case a.CanFloat():
		return cmp.Compare(a.Float(), b.Float())
	default:
		panic(fmt.Sprintf("inifile: type %s has no range", a.Type()))
	}
}

// format returns the value as it is written in a file.
func format(value reflect.Value) string {
	if value.Kind() != reflect.Slice {
		return fmt.Sprint(value.Interface())
	}
	parts := make([]string, 0, value.Len())
	for i := range value.Len() {
		parts = append(parts, format(value.Index(i)))
	}
	return strings.Join(parts, ", ")
}
