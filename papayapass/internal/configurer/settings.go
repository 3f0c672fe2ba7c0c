package configurer

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Settings holds the validated value of each option.
type Settings struct {
	values map[string]string
}

// Problem is an error in the settings and its position.
type Problem struct {
	where   string
	key     string
	message string
}

// Error returns the position, the key and the message in one line.
func (p Problem) Error() string { return fmt.Sprintf("%s: %s: %s", p.where, p.key, p.message) }

// Problems holds all errors in the settings.
type Problems []Problem

// Error returns the problems, one per line.
func (ps Problems) Error() string {
	lines := make([]string, 0, len(ps))
	for _, p := range ps {
		lines = append(lines, p.Error())
	}
	return strings.Join(lines, "\n")
}

// loader collects values and problems. Later sources override earlier ones.
type loader struct {
	options  map[string]Option
	values   map[string]string
	problems Problems
}

// Load reads a settings file. Environment variables override the file, and
// overrides, each of the form name=value, override both.
func Load(file string, overrides []string) (*Settings, error) {
	l := &loader{options: make(map[string]Option), values: make(map[string]string)}
	for _, o := range Options() {
		l.options[o.name] = o
		l.values[o.name] = o.defaultValue
	}
	if err := l.readFile(file); err != nil {
		return nil, err
	}
	l.readEnvironment()
	l.readOverrides(overrides)
	l.checkRequired(file)
	if len(l.problems) > 0 {
		return nil, l.problems
	}
	return &Settings{values: l.values}, nil
}

func (l *loader) set(where, key, value string) {
	o, ok := l.options[key]
	if !ok {
		l.problems = append(l.problems, Problem{where: where, key: key, message: "there is no such setting; 'papayapass settings' lists them"})
		return
	}
	if err := o.validate(value); err != nil {
		l.problems = append(l.problems, Problem{where: where, key: key, message: fmt.Sprintf("%s, not %q", err, value)})
		return
	}
	l.values[key] = value
}

func (l *loader) readFile(file string) error {
	if file == "" {
		return nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	var p unstable.Parser
	p.Reset(text)
	table := ""
	for p.NextExpression() {
		node := p.Expression()
		switch node.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = keyOf(node) + "."
		case unstable.KeyValue:
			key := table + keyOf(node)
			value := node.Value()
			l.set(l.position(file, &p, text, node), key, valueOf(value))
		default:
		}
	}
	if err := p.Error(); err != nil {
		l.problems = append(l.problems, Problem{where: file, key: "syntax", message: err.Error()})
	}
	return nil
}

// position returns the file and line of a key.
func (l *loader) position(file string, p *unstable.Parser, text []byte, node *unstable.Node) string {
	keys := node.Key()
	keys.Next()
	offset := int(p.Range(keys.Node().Data).Offset)
	return file + ":" + strconv.Itoa(1+strings.Count(string(text[:offset]), "\n"))
}

func keyOf(node *unstable.Node) string {
	var parts []string
	for keys := node.Key(); keys.Next(); {
		parts = append(parts, string(keys.Node().Data))
	}
	return strings.Join(parts, ".")
}

// valueOf returns a value as text; lists are joined with commas.
func valueOf(node *unstable.Node) string {
	if node.Kind != unstable.Array {
		return string(node.Data)
	}
	var parts []string
	for children := node.Children(); children.Next(); {
		parts = append(parts, valueOf(children.Node()))
	}
	return strings.Join(parts, ",")
}

func (l *loader) readEnvironment() {
	for _, o := range Options() {
		if value, ok := os.LookupEnv(o.Environment()); ok {
			l.set("environment "+o.Environment(), o.name, value)
		}
	}
}

func (l *loader) readOverrides(overrides []string) {
	for _, o := range overrides {
		key, value, ok := strings.Cut(o, "=")
		if !ok {
			l.problems = append(l.problems, Problem{where: "flag --set", key: o, message: "want name=value"})
			continue
		}
		l.set("flag --set", key, value)
	}
}

func (l *loader) checkRequired(file string) {
	for _, o := range Options() {
		if o.required && l.values[o.name] == "" {
			l.problems = append(l.problems, Problem{where: file, key: o.name, message: "is missing: " + o.help + " (" + o.unit + ")"})
		}
	}
}

// Text returns the value of an option.
func (s *Settings) Text(name string) string { return s.values[name] }

// List returns the elements of an option that is a list.
func (s *Settings) List(name string) []string { return SplitList(s.values[name]) }

// Integer returns the value of an option that is a whole number.
func (s *Settings) Integer(name string) int {
	n, _ := strconv.Atoi(s.values[name]) // validated by Load
	return n
}

// Duration returns the value of an option that is a duration.
func (s *Settings) Duration(name string) time.Duration {
	d, _ := time.ParseDuration(s.values[name]) // validated by Load
	return d
}

// Share returns the value of an option that is a share.
func (s *Settings) Share(name string) float64 {
	f, _ := strconv.ParseFloat(s.values[name], 64) // validated by Load
	return f
}

// Networks returns the value of an option that is a list of networks.
func (s *Settings) Networks(name string) []*net.IPNet {
	var out []*net.IPNet
	for _, text := range s.List(name) {
		_, n, _ := net.ParseCIDR(text) // validated by Load
		out = append(out, n)
	}
	return out
}
