package checker

// Severity is how bad a finding is.
type Severity string

// Severities of findings.
const (
	// Error is a finding with which a configuration must not come into force.
	Error Severity = "error"
	// Warning is a finding that may be intended.
	Warning Severity = "warning"
)

// Finding is something wrong with one place of a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	Place    string   `json:"place"`
	Reason   string   `json:"reason"`
}

// HasErrors reports whether any finding is an error.
func HasErrors(findings []Finding) bool {
	for _, f := range findings {
		if f.Severity == Error {
			return true
		}
	}
	return false
}
