// Package setting decodes INI settings into plain structs.
//
// A settings struct has one struct field for each section, and each of those has one
// field for each key. The tag `ini` names the section or key. The values that the
// fields have before decoding are the defaults. A number or switch without a value
// keeps its default too, since a template leaves the value out if it has none. All
// invalid settings are reported together.
//
// # Usage
//
//	settings := node.DefaultSettings()
//	err := setting.Decode(content, &settings)
//	var faults *setting.FaultsError
//	if errors.As(err, &faults) {
//		print(faults.Faults)
//	}
package setting

import (
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Fault is one invalid setting.
type Fault struct {
	// Section is "-" if the content is not valid INI.
	Section string
	// Key is "-" for a fault of the section or of the whole content.
	Key    string
	Reason string
}

// FaultsError lists all invalid settings.
type FaultsError struct {
	Faults []Fault
}

// Error implements error.
func (e *FaultsError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, fault := range e.Faults {
		lines = append(lines, fmt.Sprintf("[%s] %s: %s", fault.Section, fault.Key, fault.Reason))
	}
	return strings.Join(lines, "; ")
}

// Err returns a FaultsError, or nil if the list is empty.
func Err(faults []Fault) error {
	if len(faults) == 0 {
		return nil
	}
	return &FaultsError{Faults: faults}
}

// Decode reads INI content into target, a pointer to a struct of sections. Fields
// without a key in the content keep their values. It returns a FaultsError.
func Decode(content []byte, target any) error {
	file, err := ini.Load(content)
	if err != nil {
		return Err([]Fault{{Section: "-", Key: "-", Reason: err.Error()}})
	}
	sections := fieldsByTag(reflect.ValueOf(target).Elem())
	var faults []Fault
	for _, section := range file.Sections() {
		faults = append(faults, decodeSection(section, sections)...)
	}
	return Err(faults)
}

// decodeSection sets the fields of one section.
func decodeSection(section *ini.Section, sections map[string]reflect.Value) []Fault {
	name := section.Name()
	if name == ini.DefaultSection && len(section.Keys()) == 0 {
		return nil
	}
	target, ok := sections[name]
	if !ok {
		return []Fault{{Section: name, Key: "-", Reason: "unknown section"}}
	}
	fields := fieldsByTag(target)
	var faults []Fault
	for _, key := range section.Keys() {
		field, ok := fields[key.Name()]
		if !ok {
			faults = append(faults, Fault{Section: name, Key: key.Name(), Reason: "unknown key"})
			continue
		}
		if err := setField(field, key.String()); err != nil {
			faults = append(faults, Fault{Section: name, Key: key.Name(), Reason: err.Error()})
		}
	}
	return faults
}

// fieldsByTag returns the fields of a struct by their ini tag.
func fieldsByTag(value reflect.Value) map[string]reflect.Value {
	fields := make(map[string]reflect.Value)
	for index := range value.NumField() {
		tag := value.Type().Field(index).Tag.Get("ini")
		if tag != "" {
			fields[tag] = value.Field(index)
		}
	}
	return fields
}

// setField parses the text as the type of the field.
func setField(field reflect.Value, text string) error {
	if text == "" && field.Kind() != reflect.String {
		return nil
	}
	if field.Type() == reflect.TypeFor[time.Duration]() {
		duration, err := time.ParseDuration(text)
		if err != nil {
			return fmt.Errorf("%q is not a duration such as 250ms", text)
		}
		field.SetInt(int64(duration))
		return nil
	}
	switch field.Kind() {
	case reflect.String:
		field.SetString(text)
	case reflect.Int, reflect.Int64:
		number, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return fmt.Errorf("%q is not a whole number", text)
		}
		field.SetInt(number)
	case reflect.Float64:
		number, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
			return fmt.Errorf("%q is not a number", text)
		}
		field.SetFloat(number)
	case reflect.Bool:
		value, err := strconv.ParseBool(text)
		if err != nil {
			return fmt.Errorf("%q is neither true nor false", text)
		}
		field.SetBool(value)
	default:
		return fmt.Errorf("a value of type %s cannot be set", field.Type())
	}
	return nil
}
