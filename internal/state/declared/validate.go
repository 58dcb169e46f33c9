package declared

import (
	"fmt"
	"net/netip"
	"regexp"
)

// namePattern allows only names that are safe in logs, metric labels and URL paths.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

var digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// checker collects the faults of one document.
type checker struct {
	d      *Document
	faults []Fault
}

func (c *checker) addFault(field, format string, args ...any) {
	c.faults = append(c.faults, c.d.fault(field, format, args...))
}

func (c *checker) name(field, name string, seen map[string]bool) {
	if !namePattern.MatchString(name) {
		c.addFault(field+".name", "%q is not a name: use 1 to 63 of a-z 0-9 . _ -", name)
		return
	}
	if seen[name] {
		c.addFault(field+".name", "%q is declared twice", name)
	}
	seen[name] = true
}

func (c *checker) address(field, address string) {
	_, err := netip.ParseAddrPort(address)
	if err != nil {
		c.addFault(field, "%q is not an address: expected an IP number and port such as 127.0.0.1:8101", address)
	}
}

func (c *checker) positive(field string, n float64) {
	if !(n > 0) {
		c.addFault(field, "must be above 0")
	}
}

func (c *checker) notNegative(field string, n float64) {
	if !(n >= 0) {
		c.addFault(field, "must not be negative")
	}
}

// validate returns all faults that can be found without other documents.
func (d *Document) validate() []Fault {
	c := &checker{d: d}
	if !c.header() {
		return c.faults
	}
	c.otherSections()
	switch d.kind {
	case KindTeams:
		c.teams()
	case KindModels:
		c.models()
	case KindUpstreams:
		c.upstreams()
	case KindStores:
		c.stores()
	case KindServices:
		c.services()
	case KindControl:
		c.control()
	}
	return c.faults
}

func (c *checker) header() bool {
	known := false
	for _, k := range Kinds() {
		known = known || k == c.d.kind
	}
	if !known {
		c.addFault("document", "%q is no kind of document; the kinds are %v", c.d.kind, Kinds())
	}
	if c.d.version == 0 {
		c.addFault("version", "must be a whole number from 1; the first version of a document is 1")
	}
	return len(c.faults) == 0
}

// otherSections reports sections that belong to another kind, such as "upstreams:" in the
// teams document.
func (c *checker) otherSections() {
	b := &c.d.body
	present := map[Kind]bool{
		KindTeams:     b.Teams != nil,
		KindModels:    b.Models != nil,
		KindUpstreams: b.Upstreams != nil,
		KindStores:    b.Stores != nil,
		KindServices:  b.Services != nil,
		KindControl:   b.Control != nil,
	}
	for _, k := range Kinds() {
		if present[k] && k != c.d.kind {
			c.addFault(string(k), "does not belong in a document of kind %q", c.d.kind)
		}
	}
}

func (c *checker) teams() {
	seen := map[string]bool{}
	digests := map[string]string{}
	for i, t := range c.d.body.Teams {
		field := fmt.Sprintf("teams[%d]", i)
		c.name(field, t.Name, seen)
		if len(t.KeyDigests) == 0 {
			c.addFault(field+".key_digests", "at least one SHA-256 digest of a key is needed")
		}
		for j, digest := range t.KeyDigests {
			path := fmt.Sprintf("%s.key_digests[%d]", field, j)
			if !digestPattern.MatchString(digest) {
				c.addFault(path, "expected the SHA-256 digest of a key, 64 hexadecimal digits in lower case")
				continue
			}
			if owner, ok := digests[digest]; ok {
				c.addFault(path, "the same key already belongs to team %q", owner)
			}
			digests[digest] = t.Name
		}
		c.notNegative(field+".share", t.Share)
		c.notNegative(field+".max_queued", float64(t.MaxQueued))
		c.notNegative(field+".tokens_per_second", t.TokenRate)
	}
}

func (c *checker) models() {
	seen := map[string]bool{}
	for i, m := range c.d.body.Models {
		field := fmt.Sprintf("models[%d]", i)
		c.name(field, m.Name, seen)
		if !namePattern.MatchString(m.WeightVersion) {
			c.addFault(field+".weight_version", "%q is not a version: use 1 to 63 of a-z 0-9 . _ -", m.WeightVersion)
		}
		c.positive(field+".kv_bytes_per_token", float64(m.BytesPerToken))
		c.positive(field+".max_prompt_tokens", float64(m.MaxTokens))
		c.notNegative(field+".concurrent_loads", float64(m.Loads))
		c.notNegative(field+".min_serving", float64(m.MinServing))
	}
}

func (c *checker) upstreams() {
	seen := map[string]bool{}
	addresses := map[string]bool{}
	for i, u := range c.d.body.Upstreams {
		field := fmt.Sprintf("upstreams[%d]", i)
		c.name(field, u.Name, seen)
		c.address(field+".address", u.Address)
		if addresses[u.Address] {
			c.addFault(field+".address", "%q is declared twice", u.Address)
		}
		addresses[u.Address] = true
		c.domain(field, u.FailureDomain)
		c.positive(field+".slots", float64(u.Slots))
		c.positive(field+".prefill_tokens_per_second", u.PrefillRate)
		c.positive(field+".link_bytes_per_second", u.LinkRate)
	}
}

func (c *checker) domain(field, name string) {
	if !namePattern.MatchString(name) {
		c.addFault(field+".failure_domain", "%q is not a name: use 1 to 63 of a-z 0-9 . _ -", name)
	}
}

func (c *checker) stores() {
	seen := map[string]bool{}
	for i, s := range c.d.body.Stores {
		field := fmt.Sprintf("stores[%d]", i)
		c.name(field, s.Name, seen)
		c.address(field+".address", s.Address)
		c.domain(field, s.FailureDomain)
		c.positive(field+".memory_bytes", float64(s.MemoryBytes))
		c.notNegative(field+".disk_bytes", float64(s.DiskBytes))
		c.positive(field+".link_bytes_per_second", s.LinkRate)
	}
}

func (c *checker) services() {
	seen := map[string]bool{}
	for i, s := range c.d.body.Services {
		field := fmt.Sprintf("services[%d]", i)
		c.name(field, s.Name, seen)
		if len(s.Instances) == 0 {
			c.addFault(field+".instances", "at least one address is needed")
		}
		for j, address := range s.Instances {
			c.address(fmt.Sprintf("%s.instances[%d]", field, j), address)
		}
		for j, call := range s.OnceOnly {
			if !callPattern.MatchString(call) {
				c.addFault(fmt.Sprintf("%s.not_repeatable[%d]", field, j), "%q is not a call: expected a method and a path such as \"POST /orders\", or \"POST *\"", call)
			}
		}
		c.notNegative(field+".timeout", float64(s.Timeout))
	}
}

var callPattern = regexp.MustCompile(`^[A-Z]+ (/\S*|\*)$`)

func (c *checker) control() {
	if c.d.body.Control == nil {
		c.addFault("control", "the document must have a control part")
		return
	}
	f := c.d.body.Control
	n := len(f.Replicas)
	if n != 1 && n != 3 && n != 5 {
		c.addFault("control.replicas", "expected 1, 3 or 5 replicas, not %d", n)
	}
	ids := map[uint64]bool{}
	perDomain := map[string]int{}
	for i, r := range f.Replicas {
		field := fmt.Sprintf("control.replicas[%d]", i)
		if r.ID == 0 || ids[r.ID] {
			c.addFault(field+".id", "must be a whole number from 1 that no other replica has")
		}
		ids[r.ID] = true
		c.address(field+".address", r.Address)
		c.domain(field, r.FailureDomain)
		perDomain[r.FailureDomain]++
		if n > 1 && perDomain[r.FailureDomain] > n/2 {
			c.addFault(field+".failure_domain", "%q would hold a majority of the replicas", r.FailureDomain)
		}
	}
	c.regions(f.Regions)
	c.notNegative("control.recompute_weight", f.RecomputeWeight)
	c.notNegative("control.first_token_weight", f.FirstTokenWt)
	c.notNegative("control.record_retention", float64(f.Retention))
}

func (c *checker) regions(regions []regionFields) {
	seen := map[string]bool{}
	owner := map[string]string{}
	for i, r := range regions {
		field := fmt.Sprintf("control.regions[%d]", i)
		c.name(field, r.Name, seen)
		if len(r.FailureDomains) == 0 {
			c.addFault(field+".failure_domains", "at least one failure domain is needed")
		}
		for j, domain := range r.FailureDomains {
			path := fmt.Sprintf("%s.failure_domains[%d]", field, j)
			if !namePattern.MatchString(domain) {
				c.addFault(path, "%q is not a name: use 1 to 63 of a-z 0-9 . _ -", domain)
			}
			if other, ok := owner[domain]; ok {
				c.addFault(path, "%q already belongs to region %q", domain, other)
			}
			owner[domain] = r.Name
		}
	}
}
