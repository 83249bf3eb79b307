package text

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"hyssopreach/internal/state/problem"
)

var (
	modelNamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._/:-]{0,99}$`)
	keyHashPattern   = regexp.MustCompile(`^[0-9a-f]{64}$`)
	methodPattern    = regexp.MustCompile(`^[A-Z]{1,20}$`)
)

const allowedModelName = `a name of 1 to 100 letters, digits, ".", "_", "-", "/" or ":"`

// Upper bounds of numbers in the text.
const (
	maxWeight     = 1e6
	maxUrgency    = 100
	maxRetryRatio = 1
)

// Maximum lengths of the lists whose checks take more than linear time.
const (
	maxServices = 1000
	maxModels   = 1000
	maxClasses  = 100
)

// validator validates a document by the rules of format version 1 and collects
// the problems found.
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
	if !v.checkListLengths() {
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
	v.checkOrganisations()
	v.checkPools()
	v.checkModels()
	v.checkServices()
	v.checkCycles()
	v.checkRehearsals()
}

// checkListLengths checks the lists whose lengths determine the cost of the
// other checks, and reports whether all are within their bounds.
func (v *validator) checkListLengths() bool {
	before := len(*v.problems)
	v.checkLength("Services", len(v.doc.Services), maxServices)
	v.checkLength("Models", len(v.doc.Models), maxModels)
	for i := range v.doc.Services {
		path := problem.Field(problem.Index("Services", i), "Classes")
		v.checkLength(path, len(v.doc.Services[i].Classes), maxClasses)
	}
	return len(*v.problems) == before
}

func (v *validator) checkLength(path string, length, limit int) {
	if length > limit {
		v.add(path, formatInt(length)+" entries", "at most "+formatInt(limit))
	}
}

func (v *validator) checkOrganisations() {
	checkName := v.uniqueNameCheck("organisation", problem.IsName, problem.AllowedName)
	keys := make(map[string]string)
	for i := range v.doc.Organisations {
		o := &v.doc.Organisations[i]
		at := problem.Index("Organisations", i)
		checkName(problem.Field(at, "Name"), o.Name)
		if o.Weight <= 0 || o.Weight > maxWeight {
			v.add(problem.Field(at, "Weight"), formatFloat(o.Weight), "a number above 0, at most "+formatFloat(maxWeight))
		}
		if o.RetryRatio < 0 || o.RetryRatio > maxRetryRatio {
			v.add(problem.Field(at, "RetryRatio"), formatFloat(o.RetryRatio), "0 to 1")
		}
		v.checkNotNegative(problem.Field(at, "MaxWaiting"), int64(o.MaxWaiting))
		v.checkNotNegative(problem.Field(at, "MaxWaitingBytes"), o.MaxWaitingBytes)
		v.checkKeyHashes(problem.Field(at, "KeyHashes"), o.KeyHashes, keys)
	}
}

// checkKeyHashes checks that each hash is well formed and occurs only once in
// the whole text; seen maps each hash found so far to its path.
func (v *validator) checkKeyHashes(path string, hashes []string, seen map[string]string) {
	for i, hash := range hashes {
		at := problem.Index(path, i)
		if !keyHashPattern.MatchString(hash) {
			v.add(at, strconv.Quote(hash), "the SHA-256 sum of a caller key: 64 digits 0-9a-f")
			continue
		}
		if earlier, taken := seen[hash]; taken {
			v.add(at, "the same hash as "+earlier, "each key once in the whole text")
		}
		seen[hash] = at
	}
}

// checkPools checks the pools and their endpoints. Endpoints and addresses are
// unique in the whole text, and all endpoints on a VM are in one failure
// domain.
func (v *validator) checkPools() {
	checkName := v.uniqueNameCheck("pool", problem.IsName, problem.AllowedName)
	keys := make(map[string]string)
	addresses := make(map[string]string)
	domains := make(map[string]string)
	for i := range v.doc.Pools {
		p := &v.doc.Pools[i]
		at := problem.Index("Pools", i)
		checkName(problem.Field(at, "Name"), p.Name)
		if len(p.Endpoints) == 0 {
			v.add(problem.Field(at, "Endpoints"), "no endpoint", "at least one")
		}
		for j := range p.Endpoints {
			e := &p.Endpoints[j]
			at := problem.Index(problem.Field(at, "Endpoints"), j)
			v.checkEndpoint(at, e)
			v.checkUnique(at, "the endpoint "+e.Key(), e.Key(), "each VM and Name once", keys)
			if e.Address.IsValid() {
				address := e.Address.String()
				v.checkUnique(problem.Field(at, "Address"), address, address, "each address once", addresses)
			}
			if domain, known := domains[e.VM]; known && domain != e.FailureDomain {
				v.add(problem.Field(at, "FailureDomain"), strconv.Quote(e.FailureDomain),
					fmt.Sprintf("%q, as for the other endpoints on VM %s", domain, e.VM))
			}
			domains[e.VM] = e.FailureDomain
		}
	}
}

func (v *validator) checkEndpoint(at string, e *Endpoint) {
	v.checkFormat(problem.Field(at, "Name"), e.Name, problem.IsName, problem.AllowedName)
	v.checkFormat(problem.Field(at, "VM"), e.VM, problem.IsName, problem.AllowedName)
	v.checkFormat(problem.Field(at, "FailureDomain"), e.FailureDomain, problem.IsName, problem.AllowedName)
	if !e.Address.IsValid() || e.Address.Port() == 0 || e.Address.Addr().IsUnspecified() {
		v.add(problem.Field(at, "Address"), strconv.Quote(e.Address.String()),
			`an address and port such as "10.0.0.1:8080"`)
	}
	v.checkNotNegative(problem.Field(at, "Accelerators"), int64(e.Accelerators))
}

func (v *validator) checkModels() {
	seen := make(map[string]string)
	for i := range v.doc.Models {
		m := &v.doc.Models[i]
		at := problem.Index("Models", i)
		v.checkFormat(problem.Field(at, "Name"), m.Name, modelNamePattern.MatchString, allowedModelName)
		v.checkFormat(problem.Field(at, "Version"), m.Version, modelNamePattern.MatchString, allowedModelName)
		v.checkUnique(at, m.Name+" version "+m.Version, m.Name+"@"+m.Version, "each model and version once", seen)
		v.checkPoolExists(problem.Field(at, "Pool"), m.Pool)
		v.checkNotNegative(problem.Field(at, "SizeBytes"), m.SizeBytes)
		checkName := v.uniqueNameCheck("adapter", modelNamePattern.MatchString, allowedModelName)
		for j, adapter := range m.Adapters {
			checkName(problem.Index(problem.Field(at, "Adapters"), j), adapter)
		}
		if p := v.pools[m.Pool]; p != nil && (m.MinReplicas < 0 || m.MinReplicas > len(p.Endpoints)) {
			v.add(problem.Field(at, "MinReplicas"), formatInt(m.MinReplicas),
				fmt.Sprintf("0 to %d, the endpoints of the pool", len(p.Endpoints)))
		}
	}
}

func (v *validator) checkRehearsals() {
	checkName := v.uniqueNameCheck("rehearsal", problem.IsName, problem.AllowedName)
	endpoints := make(map[string]bool)
	for i := range v.doc.Pools {
		for j := range v.doc.Pools[i].Endpoints {
			endpoints[v.doc.Pools[i].Endpoints[j].Key()] = true
		}
	}
	for i := range v.doc.Rehearsals {
		r := &v.doc.Rehearsals[i]
		at := problem.Index("Rehearsals", i)
		checkName(problem.Field(at, "Name"), r.Name)
		if r.targetCount() != 1 {
			v.add(at, formatInt(r.targetCount())+" targets", "exactly one of FailureDomain, Router, Endpoint")
		}
		if r.Endpoint != "" && !endpoints[r.Endpoint] {
			v.add(problem.Field(at, "Endpoint"), strconv.Quote(r.Endpoint), `"VM/Name" of an endpoint in Pools`)
		}
		v.checkInterval(at, r)
	}
}

func (v *validator) checkInterval(at string, r *Rehearsal) {
	if r.From.IsZero() {
		v.add(problem.Field(at, "From"), "nothing", "the instant at which the rehearsal begins")
	}
	if r.Until.IsZero() {
		v.add(problem.Field(at, "Until"), "nothing", "the instant at which the rehearsal ends")
		return
	}
	if !r.From.Before(r.Until) {
		v.add(problem.Field(at, "Until"), formatTime(r.Until), "an instant after From")
	}
}

func (r *Rehearsal) targetCount() int {
	count := 0
	for _, target := range []string{r.FailureDomain, r.Router, r.Endpoint} {
		if target != "" {
			count++
		}
	}
	return count
}

// uniqueNameCheck returns a function that checks that a name is well formed and
// differs from all names that it has checked before.
func (v *validator) uniqueNameCheck(kind string, wellFormed func(string) bool, allowed string) func(path, name string) {
	seen := make(map[string]string)
	return func(path, name string) {
		if v.checkFormat(path, name, wellFormed, allowed) {
			v.checkUnique(path, strconv.Quote(name), name, "a name that no other "+kind+" has", seen)
		}
	}
}

// checkFormat checks that a name is well formed and reports whether it is.
func (v *validator) checkFormat(path, name string, wellFormed func(string) bool, allowed string) bool {
	if wellFormed(name) {
		return true
	}
	v.add(path, strconv.Quote(name), allowed)
	return false
}

// checkUnique reports a problem at the path if the key is already in seen,
// which maps each key to its path, and otherwise adds the key.
func (v *validator) checkUnique(path, found, key, allowed string, seen map[string]string) {
	if earlier, taken := seen[key]; taken {
		v.add(path, found+", which occurs at "+earlier+" as well", allowed)
		return
	}
	seen[key] = path
}

func (v *validator) checkPoolExists(path, name string) {
	if v.pools[name] == nil {
		v.add(path, strconv.Quote(name), "the Name of one of Pools")
	}
}

func (v *validator) checkNotNegative(path string, n int64) {
	if n < 0 {
		v.add(path, strconv.FormatInt(n, 10), "0 or more")
	}
}

func formatInt(n int) string { return strconv.Itoa(n) }

func formatFloat(f float64) string {
	return strings.TrimSuffix(strconv.FormatFloat(f, 'g', -1, 64), ".0")
}
