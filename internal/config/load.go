package config

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"chervilhead/internal/standin/engsim"
)

// Settings holds the settings of one role: *Entry, *Agent, *Gateway, *Keeper, *Engine, *Service, *Platform or *Demo.
type Settings interface {
	// problems returns what is wrong with the values.
	problems() []problem
	// addresses returns the addresses that the process listens on, by field.
	addresses() []address
}

// problem describes a wrong value of a field.
type problem struct{ field, message, remedy string }

type address struct{ field, value string }

// roles maps each role to a constructor of its default settings.
var roles = map[string]func() Settings{
	"entry": func() Settings {
		return &Entry{Role: "entry", Timing: DefaultTiming(), Limits: DefaultRequestLimits(), Clients: DefaultClientLimits()}
	},
	"agent": func() Settings { return &Agent{Role: "agent", Timing: DefaultTiming()} },
	"engine": func() Settings {
		return &Engine{Role: "engine", Engine: engsim.Settings{Resume: engsim.Resume{}.WithDefaults()}}
	},
	"service":  func() Settings { return &Service{Role: "service"} },
	"platform": func() Settings { return &Platform{Role: "platform"} },
	"demo":     func() Settings { return DefaultDemo() },
	"gateway":  newGateway,
	"keeper":   newKeeper,
}

const roleNames = "entry, agent, gateway, keeper, engine, service, platform or demo"

// Load reads and checks a settings file; its field role decides the type of the result.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{File: path, Message: err.Error(), Remedy: "give the path of a readable settings file"}
	}
	return Parse(path, data)
}

// LoadRole reads and checks a settings file and returns an error if it belongs to a role other than T's.
func LoadRole[T Settings](path string) (T, error) {
	var none T
	s, err := Load(path)
	if err != nil {
		return none, err
	}
	t, ok := s.(T)
	if !ok {
		return none, &Error{File: path, Field: "role", Message: "the file holds the settings of another role", Remedy: "give the settings file of this role"}
	}
	return t, nil
}

// Parse decodes and checks the text of a settings file.
func Parse(path string, data []byte) (s Settings, err error) {
	defer func() {
		if err != nil {
			s = nil
		}
	}()
	defer recoverPanic(path, &err)
	return parse(path, data)
}

// recoverPanic turns a panic of the YAML decoder into an error. The decoder panics on
// some malformed nodes, such as a tagged scalar in place of a list.
func recoverPanic(path string, err *error) {
	if r := recover(); r != nil {
		*err = &Error{File: path, Message: fmt.Sprintf("the YAML decoder failed: %v", r), Remedy: "correct the file's structure"}
	}
}

// Decode reads a settings file that belongs to no role, such as that of a tool, into
// the struct that v points to; v holds the defaults.
func Decode(path string, v any) (err error) {
	defer recoverPanic(path, &err)
	data, rerr := os.ReadFile(path)
	if rerr != nil {
		return &Error{File: path, Message: rerr.Error(), Remedy: "give the path of a readable settings file"}
	}
	f, perr := parser.ParseBytes(data, 0)
	if perr != nil {
		return (&file{path: path}).decodeError(perr)
	}
	if e := (&file{path: path, ast: f}).decode(data, v); e != nil {
		return e
	}
	return nil
}

// decode decodes data into v; unknown fields are errors.
func (f *file) decode(data []byte, v any) *Error {
	if p, bad := f.badDuration(reflect.TypeOf(v).Elem(), "$"); bad {
		return f.at(p)
	}
	if err := yaml.UnmarshalWithOptions(data, v, yaml.Strict()); err != nil {
		return f.decodeError(err)
	}
	return nil
}

func parse(path string, data []byte) (Settings, error) {
	f, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, (&file{path: path}).decodeError(err)
	}
	src := &file{path: path, ast: f}
	var head struct {
		Role string `yaml:"role"`
	}
	if err := yaml.Unmarshal(data, &head); err != nil {
		return nil, src.decodeError(err)
	}
	newSettings, ok := roles[head.Role]
	if !ok {
		return nil, src.at(problem{"role", fmt.Sprintf("value %q is not a role", head.Role), "use " + roleNames})
	}
	s := newSettings()
	if e := src.decode(data, s); e != nil {
		return nil, e
	}
	for _, p := range append(s.problems(), overlaps(s.addresses())...) {
		return nil, src.at(p)
	}
	return s, nil
}

// Check validates settings that were not read from a file, such as flags. Its errors name
// source as the file.
func Check(source string, s Settings) error {
	for _, p := range append(s.problems(), overlaps(s.addresses())...) {
		return &Error{File: source, Field: p.field, Message: p.message, Remedy: p.remedy}
	}
	return nil
}

// file finds the lines of fields.
type file struct {
	path string
	ast  *ast.File
}

// at returns the error for a problem, with the line of its field or of the nearest parent
// in the file, else line 1.
func (f *file) at(p problem) *Error {
	e := &Error{File: f.path, Field: p.field, Message: p.message, Remedy: p.remedy}
	for field := p.field; field != ""; {
		if n := f.node("$." + field); n != nil {
			e.Line = n.GetToken().Position.Line
			return e
		}
		cut := strings.LastIndexAny(field, ".[")
		if cut < 0 {
			break
		}
		field = field[:cut]
	}
	e.Line = 1
	return e
}

func (f *file) node(path string) ast.Node {
	if f.ast == nil {
		return nil
	}
	p, err := yaml.PathString(path)
	if err != nil {
		return nil
	}
	n, err := p.FilterFile(f.ast)
	if err != nil || n == nil {
		return nil
	}
	return n
}

// decodeError converts an error of the YAML decoder, with its line and field where known.
func (f *file) decodeError(err error) *Error {
	e := &Error{File: f.path, Message: err.Error(), Remedy: "correct the file"}
	var ye yaml.Error
	if !errors.As(err, &ye) {
		return e
	}
	e.Message = ye.GetMessage()
	if tk := ye.GetToken(); tk != nil {
		e.Line = tk.Position.Line
		e.Field = f.fieldAt(tk.Position.Offset)
	}
	var unknown *yaml.UnknownFieldError
	var typed *yaml.TypeError
	switch {
	case errors.As(err, &unknown):
		e.Remedy = "remove the field or correct its name"
	case errors.As(err, &typed) && typed.DstType == reflect.TypeFor[time.Duration]():
		e.Message, e.Remedy = "a duration needs a unit", `write it with a unit, such as "250ms" or "2s"`
	case errors.As(err, &typed):
		e.Message, e.Remedy = fmt.Sprintf("the value is not of type %s", typed.DstType), "write a value of that type; a size is a whole number of bytes"
	}
	return e
}

// fieldAt returns the path of the innermost field that begins at an offset in the file.
func (f *file) fieldAt(offset int) string {
	if f.ast == nil {
		return ""
	}
	v := &fieldFinder{offset: offset}
	for _, d := range f.ast.Docs {
		ast.Walk(v, d)
	}
	return strings.TrimPrefix(strings.TrimPrefix(v.path, "$"), ".")
}

type fieldFinder struct {
	offset int
	path   string
}

// Visit implements ast.Visitor.
func (v *fieldFinder) Visit(n ast.Node) ast.Visitor {
	if tk := n.GetToken(); tk != nil && tk.Position != nil && tk.Position.Offset == v.offset && len(n.GetPath()) > len(v.path) {
		v.path = n.GetPath()
	}
	return v
}

// badDuration returns the first duration whose text does not parse; the decoder reports no
// line for it.
func (f *file) badDuration(t reflect.Type, path string) (problem, bool) {
	for i := range t.NumField() {
		sf := t.Field(i)
		name, _, _ := strings.Cut(sf.Tag.Get("yaml"), ",")
		if name == "" || name == "-" {
			continue
		}
		at := path + "." + name
		switch {
		case sf.Type == reflect.TypeFor[time.Duration]():
			n, ok := f.node(at).(*ast.StringNode)
			if !ok {
				continue
			}
			if _, err := time.ParseDuration(n.Value); err != nil {
				return problem{
					strings.TrimPrefix(at, "$."), fmt.Sprintf("value %q is not a duration", n.Value),
					`use a number with a unit ns, us, ms, s, m or h, such as "250ms"`,
				}, true
			}
		case sf.Type.Kind() == reflect.Struct:
			if p, bad := f.badDuration(sf.Type, at); bad {
				return p, true
			}
		case sf.Type.Kind() == reflect.Slice && sf.Type.Elem().Kind() == reflect.Struct:
			for i := 0; f.node(fmt.Sprintf("%s[%d]", at, i)) != nil; i++ {
				if p, bad := f.badDuration(sf.Type.Elem(), fmt.Sprintf("%s[%d]", at, i)); bad {
					return p, true
				}
			}
		}
	}
	return problem{}, false
}
