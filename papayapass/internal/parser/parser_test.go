package parser

import (
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/matcher"
)

func TestParseRule(t *testing.T) {
	rules, err := Parse("f", "\n# comment\npath=/permits/ method=GET,HEAD pool=permits key=path:2 class=urgent deadline=3s idempotent=no accountLimit=9 # M. Reyes\n")
	require.NoError(t, err)
	require.Len(t, rules.Rules(), 1)
	r := rules.Rules()[0]
	require.Equal(t, 3, r.Line())
	require.Equal(t, "permits", r.Pool())
	require.Equal(t, matcher.NewPathKey(2), r.Key())
	require.Equal(t, 3*time.Second, r.Deadline())
	require.Equal(t, 9, r.AccountLimit())
	require.Equal(t, "M. Reyes", r.Requester())
	require.False(t, r.Idempotent("GET"))
}

func TestParseProblems(t *testing.T) {
	const good = "path=/ pool=p key=any # who"
	tests := map[string]struct {
		line    string
		column  int
		message string
	}{
		"no requester":       {line: "path=/ pool=p key=any", column: 22, message: "name who asked"},
		"empty requester":    {line: "path=/ pool=p key=any #  ", column: 26, message: "name who asked"},
		"no pool":            {line: "path=/ key=any # who", column: 1, message: "add pool=name"},
		"no key":             {line: "path=/ pool=p # who", column: 1, message: "add key=path:N"},
		"unknown field":      {line: "path=/ poool=p pool=p key=any # who", column: 8, message: `no field "poool"`},
		"bare word":          {line: "path=/ pool=p key=any x # who", column: 23, message: "name=value"},
		"twice":              {line: "path=/ pool=p pool=q key=any # who", column: 15, message: "is given twice"},
		"path without slash": {line: "path=x pool=p key=any # who", column: 6, message: "begins with /"},
		"bad segment":        {line: "path=/ pool=p key=path:0 # who", column: 19, message: "number of the segment"},
		"bad class":          {line: "path=/ pool=p key=any class=vip # who", column: 29, message: "class=urgent"},
		"bad deadline":       {line: "path=/ pool=p key=any deadline=2h # who", column: 32, message: "between 1ms and 1m"},
		"bad method":         {line: "path=/ method=get pool=p key=any # who", column: 15, message: "capitals"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("f", good+"\n"+tt.line)
			var problems Problems
			require.True(t, errors.As(err, &problems))
			require.Len(t, problems, 1)
			require.Equal(t, 2, problems[0].Line())
			require.Equal(t, tt.column, problems[0].Column())
			require.Contains(t, problems[0].Message(), tt.message)
		})
	}
}

func TestParseReportsAllProblems(t *testing.T) {
	_, err := Parse("f", "path=/ pool=p key=any\nnonsense\n")
	var problems Problems
	require.True(t, errors.As(err, &problems))
	require.GreaterOrEqual(t, len(problems), 4)
}

func FuzzParse(f *testing.F) {
	f.Add("path=/permits/ method=GET pool=permits key=path:2 class=normal deadline=3s # who\n")
	f.Add("path=/ pool=p key=header:X idempotent=yes header=A:b host=h # who")
	f.Add("# only a comment\r\n\r\n=\n")
	f.Fuzz(func(t *testing.T, text string) {
		rules, err := Parse("f", text)
		if err != nil {
			var problems Problems
			require.True(t, errors.As(err, &problems))
			for _, p := range problems {
				require.Positive(t, p.Line())
				require.Positive(t, p.Column())
				require.NotEmpty(t, p.Message())
			}
			return
		}
		for _, r := range rules.Rules() {
			require.NotEmpty(t, r.Pool())
			require.NotEmpty(t, strings.TrimSpace(r.Requester()))
		}
	})
}
