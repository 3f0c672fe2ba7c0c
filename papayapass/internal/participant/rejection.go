package participant

import (
	"slices"
	"sync"

	"papayapass.dev/papayapass/internal/validator"
	"papayapass.dev/shared/descriptor"
)

// maxLoggedRejections is the number of rejected objects of one kind that are logged.
const maxLoggedRejections = 8

// rejections remembers which objects of the store were rejected, since each reading meets
// them again.
type rejections struct {
	mu     sync.Mutex
	byKind map[string][]string
}

// news returns what is wrong with the rejected objects of a kind if that has changed since
// the last reading; else, or if there are none, nothing.
func (r *rejections) news(kind string, rejected []error) []string {
	var texts []string
	for _, err := range rejected[:min(len(rejected), maxLoggedRejections)] {
		texts = append(texts, validator.Excerpt(err.Error()))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if slices.Equal(r.byKind[kind], texts) {
		return nil
	}
	if r.byKind == nil {
		r.byKind = make(map[string][]string)
	}
	r.byKind[kind] = texts
	return texts
}

// logRejected logs objects of a kind that are not used, unless it has done so before.
func (p *Participant) logRejected(kind string, rejected []error) {
	if texts := p.rejections.news(kind, rejected); len(texts) > 0 {
		p.logger.Warn().Str("kind", kind).Int("count", len(rejected)).Strs("errors", texts).
			Msg("objects in the store rejected, the others are used")
	}
}

// kindCustomer is the kind of customers among the rejections.
const kindCustomer = "customer"

// decodeConfiguration decodes a configuration. Of its customers, it has those that can be used.
func (p *Participant) decodeConfiguration(spec []byte) (*descriptor.Configuration, error) {
	cfg, err := p.layout.Decode(spec)
	if err != nil || len(cfg.Customers) == 0 {
		return cfg, err
	}
	usable, rejected := validator.Customers(cfg.Customers)
	p.logRejected(kindCustomer, rejected)
	cfg.SetCustomers(usable)
	return cfg, nil
}
