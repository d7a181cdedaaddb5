package declaration

import (
	"fmt"
	"io/fs"
	"slices"
	"strings"

	"github.com/juju/errors"
	"gopkg.in/ini.v1"
)

// Pattern matches the files of a folder that hold declarations.
const Pattern = "*.ini"

// fileObject is the object of faults that belong to a file as a whole.
const fileObject = "file"

// section is one declared object as it stands in a file.
type section struct {
	file   string
	object string
	name   string
	keys   []key
}

// key is one line of a section. Values has an item for each repetition.
type key struct {
	name   string
	values []string
}

func (s section) values(name string) []string {
	for _, key := range s.keys {
		if key.name == name {
			return key.values
		}
	}
	return nil
}

// Load reads the declarations of a folder and checks them. It returns a
// FaultsError that lists everything that is wrong with them.
func Load(folder fs.FS) (Set, error) {
	names, err := fs.Glob(folder, Pattern)
	if err != nil {
		return Set{}, errors.Trace(err)
	}
	loader := loader{declared: make(map[string]string)}
	for _, name := range names {
		if err := loader.file(folder, name); err != nil {
			return Set{}, errors.Trace(err)
		}
	}
	if len(names) == 0 {
		loader.fault(fileObject, Pattern, "", "no declarations found")
	}
	set := loader.sorted()
	if faults := mergeFaults(loader.faults, Check(set, nil)); len(faults) > 0 {
		return set, &FaultsError{Faults: faults}
	}
	return set, nil
}

// loader gathers the objects and faults of several files.
type loader struct {
	set      Set
	faults   []Fault
	declared map[string]string
}

func (l *loader) fault(object, name, field, reason string) {
	l.faults = append(l.faults, Fault{object, name, field, reason})
}

func (l *loader) sorted() Set {
	for _, kind := range kinds() {
		kind.sort(&l.set)
	}
	return l.set
}

// file adds the objects of one file. Only a file that cannot be read is an
// error; what is wrong inside is a fault.
func (l *loader) file(folder fs.FS, name string) error {
	text, err := fs.ReadFile(folder, name)
	if err != nil {
		return errors.Trace(err)
	}
	options := ini.LoadOptions{
		AllowNonUniqueSections:     true,
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		PreserveEmptyShadowValues:  true,
	}
	parsed, err := ini.LoadSources(options, text)
	if err != nil {
		l.fault(fileObject, name, "", strings.TrimSpace(err.Error()))
		return nil
	}
	for _, part := range parsed.Sections() {
		l.section(name, part)
	}
	return nil
}

func (l *loader) section(file string, part *ini.Section) {
	if part.Name() == ini.DefaultSection {
		for _, key := range part.Keys() {
			l.fault(fileObject, file, key.Name(), "stands outside of any section")
		}
		return
	}
	declared, ok := newSection(file, part)
	if !ok {
		reason := fmt.Sprintf("section [%s] is not of the form [kind name]", part.Name())
		l.fault(fileObject, file, "", reason)
		return
	}
	l.object(declared)
}

func newSection(file string, part *ini.Section) (section, bool) {
	words := strings.Fields(part.Name())
	if len(words) != 2 {
		return section{}, false
	}
	declared := section{file: file, object: words[0], name: words[1]}
	for _, line := range part.Keys() {
		declared.keys = append(declared.keys, key{line.Name(), line.ValueWithShadows()})
	}
	return declared, true
}

func (l *loader) object(declared section) {
	all := kinds()
	index := slices.IndexFunc(all, func(k objectKind) bool { return k.objectName() == declared.object })
	if index < 0 {
		l.fault(declared.object, declared.name, "", "unknown kind of object in "+declared.file)
		return
	}
	full := declared.object + " " + declared.name
	if earlier, ok := l.declared[full]; ok {
		reason := fmt.Sprintf("declared in %s and again in %s", earlier, declared.file)
		l.fault(declared.object, declared.name, "", reason)
		return
	}
	l.declared[full] = declared.file
	l.faults = append(l.faults, all[index].read(&l.set, declared)...)
}
