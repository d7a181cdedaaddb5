// Package topup raises the purchased total of a budget in its INI file and
// leaves the rest of the file as it was.
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

// NotFoundError says that the folder has no plain purchased line for a budget.
type NotFoundError struct {
	Folder string
	Budget string
}

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("%s: found no line that sets purchased in a section [budget %s]", e.Folder, e.Budget)
}

// Edit is a folder of declarations in which one file has a new text that is not
// written yet.
type Edit struct {
	fs.FS
	Folder  string
	File    string
	Content []byte
}

// ReadFile returns the new text of the edited file and other files as they are.
func (e Edit) ReadFile(name string) ([]byte, error) {
	if name == e.File {
		return slices.Clone(e.Content), nil
	}
	return fs.ReadFile(e.FS, name)
}

// Prepare returns the folder with the purchased total of the budget raised to
// the amount. A lower amount is refused with a declaration.FaultsError.
func Prepare(folder, budget string, amount int64) (Edit, error) {
	files := os.DirFS(folder)
	before, err := declaration.Load(files)
	if err != nil {
		return Edit{}, errors.Trace(err)
	}
	edit := Edit{FS: files, Folder: folder}
	if err := edit.find(budget, amount); err != nil {
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

// find sets the first file that has the line, with the line replaced.
func (e *Edit) find(budget string, amount int64) error {
	names, err := fs.Glob(e.FS, declaration.Pattern)
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

// Write replaces the edited file as a whole, so that a reader sees the old text
// or the new one.
func (e Edit) Write() error {
	path := filepath.Join(e.Folder, e.File)
	info, err := os.Stat(path)
	if err != nil {
		return errors.Trace(err)
	}
	draft := path + ".new"
	if err := os.WriteFile(draft, e.Content, info.Mode().Perm()); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(os.Rename(draft, path))
}
