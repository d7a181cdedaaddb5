package declaration

import (
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// field reads and writes one key of an object of type T.
type field[T any] struct {
	name     string
	required bool
	parse    func(object *T, text string) error
	format   func(object *T) string
}

// need marks the field as required.
func (f field[T]) need() field[T] {
	f.required = true
	return f
}

func textField[T any, S ~string](name string, at func(*T) *S) field[T] {
	return field[T]{
		name: name,
		parse: func(object *T, text string) error {
			*at(object) = S(text)
			return nil
		},
		format: func(object *T) string { return string(*at(object)) },
	}
}

func amountField[T any](name string, at func(*T) *int64) field[T] {
	return field[T]{
		name: name,
		parse: func(object *T, text string) error {
			amount, err := strconv.ParseInt(text, 10, 64)
			if err != nil {
				return numberError(text, err)
			}
			*at(object) = amount
			return nil
		},
		format: func(object *T) string { return strconv.FormatInt(*at(object), 10) },
	}
}

func countField[T any](name string, at func(*T) *int) field[T] {
	return field[T]{
		name: name,
		parse: func(object *T, text string) error {
			count, err := strconv.Atoi(text)
			if err != nil {
				return numberError(text, err)
			}
			*at(object) = count
			return nil
		},
		format: func(object *T) string { return strconv.Itoa(*at(object)) },
	}
}

func durationField[T any](name string, at func(*T) *time.Duration) field[T] {
	return field[T]{
		name: name,
		parse: func(object *T, text string) error {
			duration, err := time.ParseDuration(text)
			if err != nil {
				return errors.Errorf("%q is not a duration such as 30s", text)
			}
			*at(object) = duration
			return nil
		},
		format: func(object *T) string { return at(object).String() },
	}
}

func boolField[T any](name string, at func(*T) *bool) field[T] {
	return field[T]{
		name: name,
		parse: func(object *T, text string) error {
			switch text {
			case "true":
				*at(object) = true
			case "false":
				*at(object) = false
			default:
				return errors.Errorf("%q is not true or false", text)
			}
			return nil
		},
		format: func(object *T) string { return strconv.FormatBool(*at(object)) },
	}
}

func listField[T any](name string, at func(*T) *[]string) field[T] {
	return field[T]{
		name: name,
		parse: func(object *T, text string) error {
			for item := range strings.SplitSeq(text, ",") {
				item = strings.TrimSpace(item)
				if item == "" {
					return errors.New("has an empty item")
				}
				*at(object) = append(*at(object), item)
			}
			return nil
		},
		format: func(object *T) string { return strings.Join(*at(object), ", ") },
	}
}

func numberError(text string, err error) error {
	if errors.Is(err, strconv.ErrRange) {
		return errors.Errorf("%s is too large", text)
	}
	return errors.Errorf("%q is not a whole number", text)
}
