// Package auditor checks the journals of backend servers and callers against
// what must always hold.
package auditor

// Execution is a line of a backend server's journal: one request that it ran.
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
