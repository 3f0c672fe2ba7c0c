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

// ruleParser is the rule that is being read.
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

// fieldReader takes the value of a field.
type fieldReader func(l *ruleParser, column int, value string)

// fieldReaders is all fields of a rule by name.
func fieldReaders() map[string]fieldReader {
	return map[string]fieldReader{
		"path":         readPath,
		"method":       readMethod,
		"host":         func(l *ruleParser, _ int, value string) { l.condition.Host = value },
		"header":       readHeader,
		"pool":         readPool,
		"key":          readKey,
		"class":        readClass,
		"deadline":     readDeadline,
		"idempotent":   readIdempotent,
		"accountLimit": readAccountLimit,
	}
}

// Parse reads a rules file. Its error is Problems with all mistakes.
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
		l := &ruleParser{file: file, number: i + 1, text: raw, seen: make(map[string]struct{})}
		rule := l.parse(readers)
		problems = append(problems, l.problems...)
		rules = append(rules, rule)
	}
	if len(problems) > 0 {
		return nil, problems
	}
	return matcher.NewRuleSet(rules), nil
}

func (l *ruleParser) parse(readers map[string]fieldReader) matcher.Rule {
	fields, comment, hasComment := strings.Cut(l.text, "#")
	l.options.Deadline = DefaultDeadline
	l.options.Requester = strings.TrimSpace(comment)
	for _, f := range splitFields(fields) {
		l.readField(readers, f)
	}
	if !hasComment || l.options.Requester == "" {
		l.addProblem(len(l.text)+1, `name who asked for the rule: end the line with "# " and the name`)
	}
	l.require("path", "add path=/prefix (path=/ fits each path)")
	l.require("pool", "add pool=name")
	l.require("key", "add key=path:N, key=query:name, key=header:name or key=any")
	return matcher.NewRule(l.number, l.condition, l.pool, l.options)
}

func (l *ruleParser) require(name, fix string) {
	if _, ok := l.seen[name]; !ok {
		l.addProblem(1, "the rule has no "+name+": "+fix)
	}
}

func (l *ruleParser) addProblem(column int, fix string) {
	l.problems = append(l.problems, Problem{
		file: l.file, line: l.number, column: column, rule: strings.TrimSpace(l.text), message: fix,
	})
}

// field is a word of a line and the number of its first byte.
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

func (l *ruleParser) readField(readers map[string]fieldReader, f field) {
	name, value, ok := strings.Cut(f.text, "=")
	if !ok {
		l.addProblem(f.column, "write "+strconv.Quote(f.text)+" as name=value")
		return
	}
	read, ok := readers[name]
	if !ok {
		l.addProblem(f.column, "there is no field "+strconv.Quote(name)+": use one of "+fieldNames(readers))
		return
	}
	if _, twice := l.seen[name]; twice {
		l.addProblem(f.column, "the field "+name+" stands twice: keep one")
		return
	}
	l.seen[name] = struct{}{}
	column := f.column + len(name) + 1
	if value == "" {
		l.addProblem(column, "the field "+name+" is empty: give it a value or leave it out")
		return
	}
	read(l, column, value)
}

func fieldNames(readers map[string]fieldReader) string {
	names := make([]string, 0, len(readers))
	for name := range readers {
		names = append(names, name)
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}

func readPath(l *ruleParser, column int, value string) {
	if !strings.HasPrefix(value, "/") {
		l.addProblem(column, "a path begins with /")
	}
	l.condition.PathPrefix = value
}

func readMethod(l *ruleParser, column int, value string) {
	for _, m := range strings.Split(value, ",") {
		if m == "" || strings.ToUpper(m) != m {
			l.addProblem(column, "write methods in capitals, split by commas: method=GET,HEAD")
			return
		}
		l.condition.Methods = append(l.condition.Methods, m)
	}
}

func readHeader(l *ruleParser, column int, value string) {
	name, content, ok := strings.Cut(value, ":")
	if !ok || name == "" || content == "" {
		l.addProblem(column, "write header=Name:value")
		return
	}
	l.condition.HeaderName, l.condition.HeaderValue = name, content
}

func readPool(l *ruleParser, column int, value string) {
	if len(value) > maxPoolBytes {
		l.addProblem(column, "a pool's name has at most "+strconv.Itoa(maxPoolBytes)+" bytes")
	}
	l.pool = value
}

func readKey(l *ruleParser, column int, value string) {
	source, name, _ := strings.Cut(value, ":")
	switch {
	case value == "any":
	case source == "path":
		segment, err := strconv.Atoi(name)
		if err != nil || segment < 1 || segment > maxSegment {
			l.addProblem(column, "write key=path:N with the number of the segment, 1 to "+strconv.Itoa(maxSegment))
			return
		}
		l.options.Key = matcher.NewPathKey(segment)
	case source == "query" && name != "":
		l.options.Key = matcher.NewQueryKey(name)
	case source == "header" && name != "":
		l.options.Key = matcher.NewHeaderKey(name)
	default:
		l.addProblem(column, "write key=path:N, key=query:name, key=header:name or key=any")
	}
}

func readClass(l *ruleParser, column int, value string) {
	switch value {
	case "urgent":
		l.options.Class = wirepb.Class_CLASS_URGENT
	case "normal":
		l.options.Class = wirepb.Class_CLASS_NORMAL
	case "bulk":
		l.options.Class = wirepb.Class_CLASS_BULK
	default:
		l.addProblem(column, "write class=urgent, class=normal or class=bulk")
	}
}

func readDeadline(l *ruleParser, column int, value string) {
	d, err := time.ParseDuration(value)
	if err != nil || d < minDeadline || d > maxDeadline {
		l.addProblem(column, "write a deadline between 1ms and 1m, such as deadline=500ms")
		return
	}
	l.options.Deadline = d
}

func readIdempotent(l *ruleParser, column int, value string) {
	switch value {
	case "yes":
		l.options.Idempotence = matcher.IdempotentAlways
	case "no":
		l.options.Idempotence = matcher.IdempotentNever
	default:
		l.addProblem(column, "write idempotent=yes or idempotent=no, or leave it out to go by the method")
	}
}

func readAccountLimit(l *ruleParser, column int, value string) {
	n, err := strconv.Atoi(value)
	if err != nil || n < 1 || n > maxAccountLimit {
		l.addProblem(column, "write accountLimit=N, the requests of one account in progress at a node")
		return
	}
	l.options.AccountLimit = n
}
