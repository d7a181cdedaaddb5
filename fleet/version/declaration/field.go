package declaration

import (
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// field parses and formats one key of an object of type T. The functions that create fields
// have a parameter access, which returns the address of the value in an object.
type field[T any] struct {
	name     string
	required bool
	parse    func(object *T, text string) error
	format   func(object *T) string
}

// asRequired returns a copy of the field for a key that must be present.
func (f field[T]) asRequired() field[T] {
	f.required = true
	return f
}

func textField[T any, S ~string](name string, access func(*T) *S) field[T] {
	return field[T]{
		name: name,
		parse: func(object *T, text string) error {
			*access(object) = S(text)
			return nil
		},
		format: func(object *T) string { return string(*access(object)) },
	}
}

func amountField[T any](name string, access func(*T) *int64) field[T] {
	return field[T]{
		name: name,
		parse: func(object *T, text string) error {
			amount, err := strconv.ParseInt(text, 10, 64)
			if err != nil {
				return numberError(text, err)
			}
			*access(object) = amount
			return nil
		},
		format: func(object *T) string { return strconv.FormatInt(*access(object), 10) },
	}
}

func countField[T any](name string, access func(*T) *int) field[T] {
	return field[T]{
		name: name,
		parse: func(object *T, text string) error {
			count, err := strconv.Atoi(text)
			if err != nil {
				return numberError(text, err)
			}
			*access(object) = count
			return nil
		},
		format: func(object *T) string { return strconv.Itoa(*access(object)) },
	}
}

// rateField returns a field for a number per second, which may have a fraction.
func rateField[T any](name string, access func(*T) *float64) field[T] {
	return field[T]{
		name: name,
		parse: func(object *T, text string) error {
			rate, err := strconv.ParseFloat(text, 64)
			if err != nil {
				return errors.Errorf("%q is not a number such as 2.5", text)
			}
			*access(object) = rate
			return nil
		},
		format: func(object *T) string { return strconv.FormatFloat(*access(object), 'g', -1, 64) },
	}
}

func durationField[T any](name string, access func(*T) *time.Duration) field[T] {
	return field[T]{
		name: name,
		parse: func(object *T, text string) error {
			duration, err := time.ParseDuration(text)
			if err != nil {
				return errors.Errorf("%q is not a duration such as 30s", text)
			}
			*access(object) = duration
			return nil
		},
		format: func(object *T) string { return access(object).String() },
	}
}

func boolField[T any](name string, access func(*T) *bool) field[T] {
	return field[T]{
		name: name,
		parse: func(object *T, text string) error {
			switch text {
			case "true":
				*access(object) = true
			case "false":
				*access(object) = false
			default:
				return errors.Errorf("%q is not true or false", text)
			}
			return nil
		},
		format: func(object *T) string { return strconv.FormatBool(*access(object)) },
	}
}

// listField returns a field for a list whose items are separated by commas.
func listField[T any](name string, access func(*T) *[]string) field[T] {
	return field[T]{
		name: name,
		parse: func(object *T, text string) error {
			for item := range strings.SplitSeq(text, ",") {
				item = strings.TrimSpace(item)
				if item == "" {
					return errors.New("has an empty item")
				}
				*access(object) = append(*access(object), item)
			}
			return nil
		},
		format: func(object *T) string { return strings.Join(*access(object), ", ") },
	}
}

func numberError(text string, err error) error {
	if errors.Is(err, strconv.ErrRange) {
		return errors.Errorf("%s is too large", text)
	}
	return errors.Errorf("%q is not a whole number", text)
}
