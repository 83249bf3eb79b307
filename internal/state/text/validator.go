package text

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"hyssopreach/internal/state/problem"
)

var (
	modelPattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._/:-]{0,99}$`)
	keyHashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	methodPattern  = regexp.MustCompile(`^[A-Z]{1,20}$`)
)

const allowedModel = `a name of 1 to 100 letters, digits, ".", "_", "-", "/" or ":"`

// The bounds of the numbers in the text.
const (
	maxWeight     = 1e6
	maxUrgency    = 100
	maxRetryRatio = 1
)

// The bounds of the lists whose check takes longer than their length.
const (
	maxServices = 1000
	maxModels   = 1000
	maxClasses  = 100
)

// validator judges a document by the rules of format version 1 and collects
// what is wrong.
type validator struct {
	doc      *Document
	problems *problem.Problems
	pools    map[string]*Pool
	services map[string]*Service
}

func (v *validator) add(path, found, allowed string) {
	v.problems.Add(path, found, allowed)
}

func (v *validator) validate() {
	if !v.sizes() {
		return
	}
	v.pools = make(map[string]*Pool, len(v.doc.Pools))
	for i := range v.doc.Pools {
		v.pools[v.doc.Pools[i].Name] = &v.doc.Pools[i]
	}
	v.services = make(map[string]*Service, len(v.doc.Services))
	for i := range v.doc.Services {
		v.services[v.doc.Services[i].Name] = &v.doc.Services[i]
	}
	v.organisations()
	v.endpoints()
	v.modelList()
	v.serviceList()
	v.cycles()
	v.rehearsals()
}

// sizes checks the lists whose length bounds the work of the other checks.
func (v *validator) sizes() bool {
	before := len(*v.problems)
	v.atMost("Services", len(v.doc.Services), maxServices)
	v.atMost("Models", len(v.doc.Models), maxModels)
	for i := range v.doc.Services {
		path := problem.Field(problem.Index("Services", i), "Classes")
		v.atMost(path, len(v.doc.Services[i].Classes), maxClasses)
	}
	return len(*v.problems) == before
}

func (v *validator) atMost(path string, length, limit int) {
	if length > limit {
		v.add(path, number(length)+" entries", "at most "+number(limit))
	}
}

func (v *validator) organisations() {
	names := v.unique("organisation", problem.IsName, problem.AllowedName)
	keys := make(map[string]string)
	for i := range v.doc.Organisations {
		o := &v.doc.Organisations[i]
		at := problem.Index("Organisations", i)
		names(problem.Field(at, "Name"), o.Name)
		if o.Weight <= 0 || o.Weight > maxWeight {
			v.add(problem.Field(at, "Weight"), float(o.Weight), "a number above 0, at most "+float(maxWeight))
		}
		if o.RetryRatio < 0 || o.RetryRatio > maxRetryRatio {
			v.add(problem.Field(at, "RetryRatio"), float(o.RetryRatio), "0 to 1")
		}
		v.atLeastZero(problem.Field(at, "MaxWaiting"), int64(o.MaxWaiting))
		v.atLeastZero(problem.Field(at, "MaxWaitingBytes"), o.MaxWaitingBytes)
		v.keyHashes(problem.Field(at, "KeyHashes"), o.KeyHashes, keys)
	}
}

// keyHashes checks that each hash is well formed and stands only once in the
// whole text; owners maps each hash seen so far to its path.
func (v *validator) keyHashes(path string, hashes []string, owners map[string]string) {
	for i, hash := range hashes {
		at := problem.Index(path, i)
		if !keyHashPattern.MatchString(hash) {
			v.add(at, strconv.Quote(hash), "the SHA-256 sum of a caller key: 64 digits 0-9a-f")
			continue
		}
		if earlier, taken := owners[hash]; taken {
			v.add(at, "the hash of "+earlier, "each key once in the whole text")
		}
		owners[hash] = at
	}
}

func (v *validator) endpoints() {
	names := v.unique("pool", problem.IsName, problem.AllowedName)
	keys := make(map[string]string)
	addresses := make(map[string]string)
	domains := make(map[string]string)
	for i := range v.doc.Pools {
		p := &v.doc.Pools[i]
		at := problem.Index("Pools", i)
		names(problem.Field(at, "Name"), p.Name)
		if len(p.Endpoints) == 0 {
			v.add(problem.Field(at, "Endpoints"), "no endpoint", "at least one")
		}
		for j := range p.Endpoints {
			e := &p.Endpoints[j]
			at := problem.Index(problem.Field(at, "Endpoints"), j)
			v.endpoint(at, e)
			v.once(at, "the endpoint "+e.Key(), e.Key(), "each VM and Name once", keys)
			if e.Address.IsValid() {
				address := e.Address.String()
				v.once(problem.Field(at, "Address"), address, address, "each address once", addresses)
			}
			if domain, known := domains[e.VM]; known && domain != e.FailureDomain {
				v.add(problem.Field(at, "FailureDomain"), strconv.Quote(e.FailureDomain),
					fmt.Sprintf("%q, as for the other endpoints on VM %s", domain, e.VM))
			}
			domains[e.VM] = e.FailureDomain
		}
	}
}

func (v *validator) endpoint(at string, e *Endpoint) {
	v.matches(problem.Field(at, "Name"), e.Name, problem.IsName, problem.AllowedName)
	v.matches(problem.Field(at, "VM"), e.VM, problem.IsName, problem.AllowedName)
	v.matches(problem.Field(at, "FailureDomain"), e.FailureDomain, problem.IsName, problem.AllowedName)
	if !e.Address.IsValid() || e.Address.Port() == 0 || e.Address.Addr().IsUnspecified() {
		v.add(problem.Field(at, "Address"), strconv.Quote(e.Address.String()),
			`an address and port such as "10.0.0.1:8080"`)
	}
	v.atLeastZero(problem.Field(at, "Accelerators"), int64(e.Accelerators))
}

func (v *validator) modelList() {
	seen := make(map[string]string)
	for i := range v.doc.Models {
		m := &v.doc.Models[i]
		at := problem.Index("Models", i)
		v.matches(problem.Field(at, "Name"), m.Name, modelPattern.MatchString, allowedModel)
		v.matches(problem.Field(at, "Version"), m.Version, modelPattern.MatchString, allowedModel)
		v.once(at, m.Name+" version "+m.Version, m.Name+"@"+m.Version, "each model and version once", seen)
		v.poolExists(problem.Field(at, "Pool"), m.Pool)
		v.atLeastZero(problem.Field(at, "SizeBytes"), m.SizeBytes)
		adapters := v.unique("adapter", modelPattern.MatchString, allowedModel)
		for j, adapter := range m.Adapters {
			adapters(problem.Index(problem.Field(at, "Adapters"), j), adapter)
		}
		if p := v.pools[m.Pool]; p != nil && (m.MinReplicas < 0 || m.MinReplicas > len(p.Endpoints)) {
			v.add(problem.Field(at, "MinReplicas"), number(m.MinReplicas),
				fmt.Sprintf("0 to %d, the endpoints of the pool", len(p.Endpoints)))
		}
	}
}

func (v *validator) rehearsals() {
	names := v.unique("rehearsal", problem.IsName, problem.AllowedName)
	endpoints := make(map[string]bool)
	for i := range v.doc.Pools {
		for j := range v.doc.Pools[i].Endpoints {
			endpoints[v.doc.Pools[i].Endpoints[j].Key()] = true
		}
	}
	for i := range v.doc.Rehearsals {
		r := &v.doc.Rehearsals[i]
		at := problem.Index("Rehearsals", i)
		names(problem.Field(at, "Name"), r.Name)
		if r.targets() != 1 {
			v.add(at, number(r.targets())+" targets", "exactly one of FailureDomain, Router, Endpoint")
		}
		if r.Endpoint != "" && !endpoints[r.Endpoint] {
			v.add(problem.Field(at, "Endpoint"), strconv.Quote(r.Endpoint), `"VM/Name" of an endpoint in Pools`)
		}
		v.interval(at, r)
	}
}

func (v *validator) interval(at string, r *Rehearsal) {
	if r.From.IsZero() {
		v.add(problem.Field(at, "From"), "nothing", "the instant at which the rehearsal begins")
	}
	if r.Until.IsZero() {
		v.add(problem.Field(at, "Until"), "nothing", "the instant at which the rehearsal ends")
		return
	}
	if !r.From.Before(r.Until) {
		v.add(problem.Field(at, "Until"), stamp(r.Until), "an instant after From")
	}
}

func (r *Rehearsal) targets() int {
	count := 0
	for _, target := range []string{r.FailureDomain, r.Router, r.Endpoint} {
		if target != "" {
			count++
		}
	}
	return count
}

// unique returns a check that a name is well formed and was not seen before.
func (v *validator) unique(what string, wellFormed func(string) bool, allowed string) func(path, name string) {
	seen := make(map[string]string)
	return func(path, name string) {
		if v.matches(path, name, wellFormed, allowed) {
			v.once(path, strconv.Quote(name), name, "a name that no other "+what+" has", seen)
		}
	}
}

func (v *validator) matches(path, name string, wellFormed func(string) bool, allowed string) bool {
	if wellFormed(name) {
		return true
	}
	v.add(path, strconv.Quote(name), allowed)
	return false
}

func (v *validator) once(path, found, key, allowed string, seen map[string]string) {
	if earlier, taken := seen[key]; taken {
		v.add(path, found+", which stands at "+earlier+" too", allowed)
		return
	}
	seen[key] = path
}

func (v *validator) poolExists(path, name string) {
	if v.pools[name] == nil {
		v.add(path, strconv.Quote(name), "the Name of one of Pools")
	}
}

func (v *validator) atLeastZero(path string, n int64) {
	if n < 0 {
		v.add(path, strconv.FormatInt(n, 10), "0 or more")
	}
}

func number(n int) string { return strconv.Itoa(n) }

func float(f float64) string { return strings.TrimSuffix(strconv.FormatFloat(f, 'g', -1, 64), ".0") }
