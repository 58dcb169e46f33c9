// Package residency decides where the data of a request may be: its body, and the KV cache that is
// computed from its prompt. Teams and routes may each restrict it to a list of regions.
package residency

import (
	"slices"
	"strconv"
	"strings"
)

// Regions maps each failure domain to its region.
type Regions map[string]string

// Policy is the set of regions in which the data of a request may be. The zero value allows all.
type Policy struct {
	// allowed holds the allowed regions in ascending order. It has no effect unless restricted is
	// true; a restricted policy without regions allows none.
	allowed    []string
	restricted bool
}

// NewPolicy returns the policy that allows the regions which all lists contain. A nil list does not
// restrict anything.
func NewPolicy(lists ...[]string) Policy {
	var p Policy
	for _, list := range lists {
		if list != nil {
			p = p.restrict(list)
		}
	}
	return p
}

// restrict returns the policy that allows the regions which both p and a list allow.
func (p Policy) restrict(list []string) Policy {
	var allowed []string
	for _, region := range list {
		if !p.restricted || slices.Contains(p.allowed, region) {
			allowed = append(allowed, region)
		}
	}
	slices.Sort(allowed)
	return Policy{allowed: slices.Compact(allowed), restricted: true}
}

// Allows reports whether data may be in a failure domain. A domain whose region is unknown is
// allowed only by a policy without restrictions.
func (p Policy) Allows(domain string, regions Regions) bool {
	if !p.restricted {
		return true
	}
	region, known := regions[domain]
	return known && slices.Contains(p.allowed, region)
}

// String returns the allowed regions, or an empty string if there is no restriction. Equal policies
// have equal strings, and different policies different ones.
func (p Policy) String() string {
	if !p.restricted {
		return ""
	}
	var quoted []string
	for _, region := range p.allowed {
		quoted = append(quoted, strconv.Quote(region))
	}
	return "[" + strings.Join(quoted, ",") + "]"
}
