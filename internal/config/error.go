package config

import "fmt"

// Error is a mistake in a settings file or in flags.
type Error struct {
	File string
	// Line counts from 1; it is 0 if the mistake has no place in the file.
	Line    int
	Field   string
	Message string
	Remedy  string
}

// Error implements the error interface. It leaves out the file and line where they are not set, as for flags.
func (e *Error) Error() string {
	text := e.Message + "; " + e.Remedy
	if e.Field != "" {
		text = fmt.Sprintf("field %q: %s", e.Field, text)
	}
	switch {
	case e.Line > 0:
		return fmt.Sprintf("%s:%d: %s", e.File, e.Line, text)
	case e.File != "":
		return e.File + ": " + text
	default:
		return text
	}
}
