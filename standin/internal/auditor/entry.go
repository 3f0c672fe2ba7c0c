// Package auditor checks the invariants of request execution against the journals
// of backend servers and the outcomes that callers received.
package auditor

// Execution is one line of a backend server's journal: a request that it ran.
type Execution struct {
	Server     string `json:"server"`
	Call       string `json:"call"`
	Nonce      string `json:"nonce"`
	Key        string `json:"key"`
	Slice      string `json:"slice"`
	Token      uint64 `json:"token"`
	Idempotent bool   `json:"idempotent"`
	Keyed      bool   `json:"keyed"`
	StartNanos int64  `json:"startNanos"`
}
