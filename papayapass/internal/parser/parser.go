package parser

import (
	"sort"
	"strconv"
	"strings"
	"time"

	"papayapass.dev/papayapass/internal/matcher"
	"papayapass.dev/papayapass/internal/wirepb"
)

// Limits of a rules file.
const (
	MaxFileBytes    = 512 << 10
	DefaultDeadline = 5 * time.Second
	maxDeadline     = time.Minute
	minDeadline     = time.Millisecond
	maxSegment      = 16
	maxAccountLimit = 1_000_000
	maxPoolBytes    = 64
)

// ruleParser is the state of parsing one line.
type ruleParser struct {
	file      string
	number    int
	text      string
	condition matcher.Condition
	pool      string
	options   matcher.Options
	seen      map[string]struct{}
	problems  Problems
}

// fieldReader parses the value of a field.
type fieldReader func(p *ruleParser, column int, value string)

// fieldReaders returns the readers of all fields by name.
func fieldReaders() map[string]fieldReader {
	return map[string]fieldReader{
		"path":         readPath,
		"method":       readMethod,
		"host":         func(p *ruleParser, _ int, value string) { p.condition.Host = value },
		"header":       readHeader,
		"pool":         readPool,
		"key":          readKey,
		"class":        readClass,
		"deadline":     readDeadline,
		"idempotent":   readIdempotent,
		"accountLimit": readAccountLimit,
	}
}

// Parse parses a rules file. An error is of type Problems and holds all
// mistakes.
func Parse(file, text string) (*matcher.RuleSet, error) {
	if len(text) > MaxFileBytes {
		return nil, Problems{{file: file, line: 1, column: 1, message: "the file is over " + strconv.Itoa(MaxFileBytes) + " bytes: use fewer rules"}}
	}
	readers := fieldReaders()
	var rules []matcher.Rule
	var problems Problems
	for i, raw := range strings.Split(text, "\n") {
		raw = strings.TrimSuffix(raw, "\r")
		trimmed := strings.TrimSpace(raw)
		if trimmed == "" || strings.HasPrefix(trimmed, "#") {
			continue
		}
		p := &ruleParser{file: file, number: i + 1, text: raw, seen: make(map[string]struct{})}
		rule := p.parse(readers)
		problems = append(problems, p.problems...)
		rules = append(rules, rule)
	}
	if len(problems) > 0 {
		return nil, problems
	}
	return matcher.NewRuleSet(rules), nil
}

func (p *ruleParser) parse(readers map[string]fieldReader) matcher.Rule {
	fields, comment, hasComment := strings.Cut(p.text, "#")
	p.options.Deadline = DefaultDeadline
	p.options.Requester = strings.TrimSpace(comment)
	for _, f := range splitFields(fields) {
		p.readField(readers, f)
	}
	if !hasComment || p.options.Requester == "" {
		p.addProblem(len(p.text)+1, `name who asked for the rule: end the line with "# " and the name`)
	}
	p.require("path", "add path=/prefix (path=/ matches every path)")
	p.require("pool", "add pool=name")
	p.require("key", "add key=path:N, key=query:name, key=header:name or key=any")
	return matcher.NewRule(p.number, p.condition, p.pool, p.options)
}

func (p *ruleParser) require(name, message string) {
	if _, ok := p.seen[name]; !ok {
		p.addProblem(1, "the rule has no "+name+": "+message)
	}
}

func (p *ruleParser) addProblem(column int, message string) {
	p.problems = append(p.problems, Problem{
		file: p.file, line: p.number, column: column, rule: strings.TrimSpace(p.text), message: message,
	})
}

// field is a word of a line and the column of its first byte.
type field struct {
	text   string
	column int
}

func splitFields(text string) []field {
	var out []field
	start := -1
	for i := 0; i <= len(text); i++ {
		blank := i == len(text) || text[i] == ' ' || text[i] == '\t'
		if blank && start >= 0 {
			out = append(out, field{text: text[start:i], column: start + 1})
			start = -1
		}
		if !blank && start < 0 {
			start = i
		}
	}
	return out
}

func (p *ruleParser) readField(readers map[string]fieldReader, f field) {
	name, value, ok := strings.Cut(f.text, "=")
	if !ok {
		p.addProblem(f.column, "write "+strconv.Quote(f.text)+" as name=value")
		return
	}
	read, ok := readers[name]
	if !ok {
		p.addProblem(f.column, "there is no field "+strconv.Quote(name)+": use one of "+fieldNames(readers))
		return
	}
	if _, twice := p.seen[name]; twice {
		p.addProblem(f.column, "the field "+name+" is given twice: keep one")
		return
	}
	p.seen[name] = struct{}{}
	column := f.column + len(name) + 1
	if value == "" {
		p.addProblem(column, "the field "+name+" is empty: give it a value or leave it out")
		return
	}
	read(p, column, value)
}

func fieldNames(readers map[string]fieldReader) string {
	names := make([]string, 0, len(readers))
	for name := range readers {
		names = append(names, name)
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}

func readPath(p *ruleParser, column int, value string) {
	if !strings.HasPrefix(value, "/") {
		p.addProblem(column, "a path begins with /")
	}
	p.condition.PathPrefix = value
}

func readMethod(p *ruleParser, column int, value string) {
	for _, m := range strings.Split(value, ",") {
		if m == "" || strings.ToUpper(m) != m {
			p.addProblem(column, "write methods in capitals, separated by commas: method=GET,HEAD")
			return
		}
		p.condition.Methods = append(p.condition.Methods, m)
	}
}

func readHeader(p *ruleParser, column int, value string) {
	name, content, ok := strings.Cut(value, ":")
	if !ok || name == "" || content == "" {
		p.addProblem(column, "write header=Name:value")
		return
	}
	p.condition.HeaderName, p.condition.HeaderValue = name, content
}

func readPool(p *ruleParser, column int, value string) {
	if len(value) > maxPoolBytes {
		p.addProblem(column, "a pool's name has at most "+strconv.Itoa(maxPoolBytes)+" bytes")
	}
	p.pool = value
}

func readKey(p *ruleParser, column int, value string) {
	source, name, _ := strings.Cut(value, ":")
	switch {
	case value == "any":
	case source == "path":
		segment, err := strconv.Atoi(name)
		if err != nil || segment < 1 || segment > maxSegment {
			p.addProblem(column, "write key=path:N with the number of the segment, 1 to "+strconv.Itoa(maxSegment))
			return
		}
		p.options.Key = matcher.NewPathKey(segment)
	case source == "query" && name != "":
		p.options.Key = matcher.NewQueryKey(name)
	case source == "header" && name != "":
		p.options.Key = matcher.NewHeaderKey(name)
	default:
		p.addProblem(column, "write key=path:N, key=query:name, key=header:name or key=any")
	}
}

func readClass(p *ruleParser, column int, value string) {
	switch value {
	case "urgent":
		p.options.Class = wirepb.Class_CLASS_URGENT
	case "normal":
		p.options.Class = wirepb.Class_CLASS_NORMAL
	case "bulk":
		p.options.Class = wirepb.Class_CLASS_BULK
	default:
		p.addProblem(column, "write class=urgent, class=normal or class=bulk")
	}
}

func readDeadline(p *ruleParser, column int, value string) {
	d, err := time.ParseDuration(value)
	if err != nil || d < minDeadline || d > maxDeadline {
		p.addProblem(column, "write a deadline between 1ms and 1m, such as deadline=500ms")
		return
	}
	p.options.Deadline = d
}

func readIdempotent(p *ruleParser, column int, value string) {
	switch value {
	case "yes":
		p.options.Idempotence = matcher.IdempotentAlways
	case "no":
		p.options.Idempotence = matcher.IdempotentNever
	default:
		p.addProblem(column, "write idempotent=yes or idempotent=no, or leave it out to follow the method")
	}
}

func readAccountLimit(p *ruleParser, column int, value string) {
	n, err := strconv.Atoi(value)
	if err != nil || n < 1 || n > maxAccountLimit {
		p.addProblem(column, "write accountLimit=N, the most requests of one account in flight at a node")
		return
	}
	p.options.AccountLimit = n
}
