package declaration

import (
	"fmt"
	"io/fs"
	"slices"
	"strings"

	"github.com/juju/errors"
	"gopkg.in/ini.v1"
)

// FilePattern matches the names of files with declarations.
const FilePattern = "*.ini"

// fileKind is the kind of faults that concern a file as a whole.
const fileKind = "file"

// section is one declared object: a section of an INI file named [kind name].
type section struct {
	file string
	kind string
	name string
	keys []key
}

// key is one key of a section.
type key struct {
	name string
	// values has an item for each time that the key is declared.
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

// Load reads the declarations in the files of a folder that match FilePattern and validates
// them. It returns a *FaultsError, together with the set, if they have faults.
func Load(folder fs.FS) (Set, error) {
	names, err := fs.Glob(folder, FilePattern)
	if err != nil {
		return Set{}, errors.Trace(err)
	}
	loader := loader{declaredIn: make(map[string]string)}
	for _, name := range names {
		if err := loader.addFile(folder, name); err != nil {
			return Set{}, errors.Trace(err)
		}
	}
	if len(names) == 0 {
		loader.addFault(fileKind, FilePattern, "", "no declarations found")
	}
	set := loader.sortedSet()
	if faults := mergeFaults(loader.faults, Check(set, nil)); len(faults) > 0 {
		return set, &FaultsError{Faults: faults}
	}
	return set, nil
}

// loader collects the objects and faults of several files.
type loader struct {
	set    Set
	faults []Fault
	// declaredIn maps "kind name" to the file that declares the object.
	declaredIn map[string]string
}

func (l *loader) addFault(kind, name, field, reason string) {
	l.faults = append(l.faults, Fault{kind, name, field, reason})
}

func (l *loader) sortedSet() Set {
	for _, s := range schemas() {
		s.sort(&l.set)
	}
	return l.set
}

// addFile adds the objects of one file. It returns an error only if the file cannot be
// read; invalid content is recorded as faults.
func (l *loader) addFile(folder fs.FS, name string) error {
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
		l.addFault(fileKind, name, "", strings.TrimSpace(err.Error()))
		return nil
	}
	for _, parsedSection := range parsed.Sections() {
		l.addSection(name, parsedSection)
	}
	return nil
}

func (l *loader) addSection(file string, parsed *ini.Section) {
	if parsed.Name() == ini.DefaultSection {
		for _, key := range parsed.Keys() {
			l.addFault(fileKind, file, key.Name(), "stands outside of any section")
		}
		return
	}
	declared, ok := newSection(file, parsed)
	if !ok {
		reason := fmt.Sprintf("section [%s] is not of the form [kind name]", parsed.Name())
		l.addFault(fileKind, file, "", reason)
		return
	}
	l.addObject(declared)
}

func newSection(file string, parsed *ini.Section) (section, bool) {
	words := strings.Fields(parsed.Name())
	if len(words) != 2 {
		return section{}, false
	}
	declared := section{file: file, kind: words[0], name: words[1]}
	for _, line := range parsed.Keys() {
		declared.keys = append(declared.keys, key{line.Name(), line.ValueWithShadows()})
	}
	return declared, true
}

func (l *loader) addObject(declared section) {
	known := schemas()
	index := slices.IndexFunc(known, func(s schema) bool { return s.kindName() == declared.kind })
	if index < 0 {
		l.addFault(declared.kind, declared.name, "", "unknown kind of object in "+declared.file)
		return
	}
	kindAndName := declared.kind + " " + declared.name
	if earlier, ok := l.declaredIn[kindAndName]; ok {
		reason := fmt.Sprintf("declared in %s and again in %s", earlier, declared.file)
		l.addFault(declared.kind, declared.name, "", reason)
		return
	}
	l.declaredIn[kindAndName] = declared.file
	l.faults = append(l.faults, known[index].addObject(&l.set, declared)...)
}
