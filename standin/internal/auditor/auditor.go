package auditor

import (
	"bufio"
	"encoding/json"
	"os"
	"path/filepath"
	"sort"

	"github.com/cockroachdb/errors"
)

// JournalPattern is the glob pattern of the journal files in a run's directory.
const JournalPattern = "journal-*.jsonl"

// Findings is the result of an audit. RanTwice, TwoOwners and FalseNotRun count
// violations.
type Findings struct {
	Executions  int            `json:"executions"`
	RanTwice    int            `json:"ranTwice"`
	TwoOwners   int            `json:"twoOwners"`
	FalseNotRun int            `json:"falseNotRun"`
	PerServer   map[string]int `json:"perServer"`
	Imbalance   float64        `json:"imbalance"`
	// RerunShare is the share of executions that repeated an idempotent request,
	// because of a hedge or a retry.
	RerunShare   float64 `json:"again"`
	FirstExample string  `json:"firstExample"`
}

// Clean reports whether the audit found no violation.
func (f Findings) Clean() bool { return f.RanTwice+f.TwoOwners+f.FalseNotRun == 0 }

// ReadJournals reads all journals in a directory.
func ReadJournals(dir string) ([]Execution, error) {
	files, err := filepath.Glob(filepath.Join(dir, JournalPattern))
	if err != nil {
		return nil, err
	}
	var out []Execution
	for _, name := range files {
		list, err := readJournal(name)
		if err != nil {
			return nil, errors.Wrap(err, name)
		}
		out = append(out, list...)
	}
	return out, nil
}

func readJournal(name string) ([]Execution, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close() //nolint:errcheck // only read
	var out []Execution
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		var e Execution
		if err := json.Unmarshal(scanner.Bytes(), &e); err != nil {
			continue // a killed process may leave its last line incomplete
		}
		out = append(out, e)
	}
	return out, scanner.Err()
}

// Audit checks executions. notRun holds the nonces of requests whose callers
// received the outcome not-run.
func Audit(executions []Execution, notRun []string) Findings {
	f := Findings{Executions: len(executions), PerServer: make(map[string]int)}
	sort.Slice(executions, func(i, j int) bool { return executions[i].StartNanos < executions[j].StartNanos })
	ran := make(map[string]int, len(executions))
	reruns := 0
	for _, e := range executions {
		f.PerServer[e.Server]++
		ran[e.Nonce]++
		if e.Idempotent && ran[e.Nonce] > 1 {
			reruns++
		}
		if !e.Idempotent && ran[e.Nonce] == 2 {
			f.RanTwice++
			f.recordExample("ran twice: " + e.Nonce)
		}
	}
	for _, nonce := range notRun {
		if ran[nonce] > 0 {
			f.FalseNotRun++
			f.recordExample("told not run, but ran: " + nonce)
		}
	}
	f.checkTokens(executions)
	f.Imbalance = imbalance(executions)
	f.RerunShare = float64(reruns) / float64(max(1, len(executions)))
	return f
}

// imbalance returns the ratio of the largest to the mean number of executions per
// server in the divided (sharded by key) pool, over the second half of all
// executions. Servers with executions only in the first half count in the mean.
func imbalance(executions []Execution) float64 {
	counts := make(map[string]int)
	total := 0
	for i, e := range executions {
		if !e.Keyed {
			continue
		}
		counts[e.Server] += 0
		if i >= len(executions)/2 {
			counts[e.Server]++
			total++
		}
	}
	largest := 0
	for _, n := range counts {
		largest = max(largest, n)
	}
	return float64(largest*len(counts)) / float64(max(1, total))
}

// checkTokens checks that, for each key, fencing tokens never decrease over time and
// no two servers use the same one.
func (f *Findings) checkTokens(executions []Execution) {
	newestByKey := make(map[string]Execution)
	for _, e := range executions {
		if !e.Keyed {
			continue
		}
		last, ok := newestByKey[e.Key]
		switch {
		case !ok || e.Token > last.Token:
			newestByKey[e.Key] = e
		case e.Token < last.Token || e.Server != last.Server:
			f.TwoOwners++
			f.recordExample("two owners of " + e.Key + ": " + last.Server + " and " + e.Server)
		}
	}
}

func (f *Findings) recordExample(text string) {
	if f.FirstExample == "" {
		f.FirstExample = text
	}
}
