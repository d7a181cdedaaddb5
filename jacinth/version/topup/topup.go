// Package topup raises the purchased total of a budget in its INI file and keeps the rest of
// the file, including comments, unchanged.
//
// # Usage
//
//	edit, err := topup.Prepare("declarations", "festival", 2_000_000)
//	plan, err := rollout.Prepare(ctx, objects, edit)
//	err = edit.Write()
package topup

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/version/declaration"
)

// NotFoundError is returned if no file of the folder has a purchased line with a plain
// number in the section of the budget.
type NotFoundError struct {
	Folder string
	Budget string
}

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("%s: found no line that sets purchased in a section [budget %s]", e.Folder, e.Budget)
}

// Edit is a folder of declarations with a pending change of one file. fs.ReadFile returns the
// new content of that file; Open still opens the stored one.
type Edit struct {
	fs.FS
	// Folder is the path of the folder.
	Folder string
	// File is the name of the changed file in the folder.
	File string
	// Content is the new content of the file.
	Content []byte
}

// ReadFile implements fs.ReadFileFS. It returns the new content of the changed file and the
// stored content of any other.
func (e Edit) ReadFile(name string) ([]byte, error) {
	if name == e.File {
		return slices.Clone(e.Content), nil
	}
	return fs.ReadFile(e.FS, name)
}

// Prepare returns an edit that sets the purchased total of the budget to the amount in
// credits. It writes no file. It returns a *declaration.FaultsError if the declarations
// have faults or the amount is below the present total, and a *NotFoundError if the budget
// has no purchased line.
func Prepare(folder, budget string, amount int64) (Edit, error) {
	files := os.DirFS(folder)
	before, err := declaration.Load(files)
	if err != nil {
		return Edit{}, errors.Trace(err)
	}
	edit := Edit{FS: files, Folder: folder}
	if err := edit.replacePurchased(budget, amount); err != nil {
		return Edit{}, errors.Trace(err)
	}
	after, err := declaration.Load(edit)
	if err != nil {
		return Edit{}, errors.Trace(err)
	}
	if faults := declaration.Check(after, &before); len(faults) > 0 {
		return Edit{}, &declaration.FaultsError{Faults: faults}
	}
	return edit, nil
}

// replacePurchased sets File and Content from the first file that has a purchased line of
// the budget.
func (e *Edit) replacePurchased(budget string, amount int64) error {
	names, err := fs.Glob(e.FS, declaration.FilePattern)
	if err != nil {
		return errors.Trace(err)
	}
	for _, name := range names {
		text, err := fs.ReadFile(e.FS, name)
		if err != nil {
			return errors.Trace(err)
		}
		if replaced, ok := ReplacePurchased(text, budget, amount); ok {
			e.File = name
			e.Content = replaced
			return nil
		}
	}
	return &NotFoundError{Folder: e.Folder, Budget: budget}
}

// Write replaces the changed file atomically: it writes a temporary file beside it and
// renames that.
func (e Edit) Write() error {
	path := filepath.Join(e.Folder, e.File)
	info, err := os.Stat(path)
	if err != nil {
		return errors.Trace(err)
	}
	temporary := path + ".new"
	if err := os.WriteFile(temporary, e.Content, info.Mode().Perm()); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(os.Rename(temporary, path))
}
