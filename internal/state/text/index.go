package text

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
)

// Index provides lookups in a document in constant time. It is built once for
// each text in force and is immutable.
type Index struct {
	document *Document
	// byKeyHash maps the hash of a caller key to the organisation of the key.
	byKeyHash    map[string]*Organisation
	services     map[string]*Service
	pools        map[string]*Pool
	dependencies map[string][]string
}

// NewIndex builds the index of a document that Parse has accepted.
func NewIndex(doc *Document) *Index {
	x := &Index{
		document:     doc,
		byKeyHash:    make(map[string]*Organisation),
		services:     make(map[string]*Service, len(doc.Services)),
		pools:        make(map[string]*Pool, len(doc.Pools)),
		dependencies: make(map[string][]string, len(doc.Services)),
	}
	for i := range doc.Organisations {
		for _, hash := range doc.Organisations[i].KeyHashes {
			x.byKeyHash[hash] = &doc.Organisations[i]
		}
	}
	for i := range doc.Services {
		x.services[doc.Services[i].Name] = &doc.Services[i]
	}
	for i := range doc.Pools {
		x.pools[doc.Pools[i].Name] = &doc.Pools[i]
	}
	for i := range doc.Services {
		x.dependencies[doc.Services[i].Name] = x.transitiveDependencies(&doc.Services[i])
	}
	return x
}

// Document returns the document that the index was built from.
func (x *Index) Document() *Document { return x.document }

// KeyHash returns the hash of a caller key in the form used in the text.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Organisation returns the organisation that the caller key belongs to, or nil
// if the key is unknown.
func (x *Index) Organisation(key string) *Organisation {
	return x.byKeyHash[KeyHash(key)]
}

// Service returns the named service, or nil.
func (x *Index) Service(name string) *Service { return x.services[name] }

// Pool returns the named pool, or nil.
func (x *Index) Pool(name string) *Pool { return x.pools[name] }

// Class returns the first class of the service that matches the request, or
// nil if the service is unknown or no class matches.
func (x *Index) Class(service, method, path string) *Class {
	s := x.services[service]
	if s == nil {
		return nil
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		if !matchesPath(c.PathPrefix, path) {
			continue
		}
		if len(c.Methods) == 0 || slices.Contains(c.Methods, method) {
			return c
		}
	}
	return nil
}

// Dependencies returns the names of the services that the service depends on,
// directly or indirectly, sorted.
func (x *Index) Dependencies(service string) []string { return x.dependencies[service] }

func (x *Index) transitiveDependencies(s *Service) []string {
	seen := make(map[string]bool)
	pending := slices.Clone(s.DependsOn)
	for len(pending) > 0 {
		name := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		next := x.services[name]
		if seen[name] || next == nil {
			continue
		}
		seen[name] = true
		pending = append(pending, next.DependsOn...)
	}
	names := make([]string, 0, len(seen))
	for name := range seen {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
