// Package config defines the YAML settings of every role. Decoding is strict: an
// unknown field, a duration without a unit, an address used twice or a missing
// failure domain is an *Error that names the file, line, field and remedy.
package config
