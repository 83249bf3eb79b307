package text

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"hyssopreach/internal/state/problem"
)

func stamp(t time.Time) string { return strconv.Quote(t.Format(time.RFC3339Nano)) }

func (v *validator) serviceList() {
	names := v.unique("service", problem.IsName, problem.AllowedName)
	for i := range v.doc.Services {
		s := &v.doc.Services[i]
		at := problem.Index("Services", i)
		names(problem.Field(at, "Name"), s.Name)
		v.poolExists(problem.Field(at, "Pool"), s.Pool)
		v.kind(at, s)
		v.dependsOn(at, s)
		v.classes(at, s)
	}
}

func (v *validator) kind(at string, s *Service) {
	switch s.Kind {
	case KindPlain:
	case KindModel:
		held := slices.ContainsFunc(v.doc.Models, func(m Model) bool { return m.Pool == s.Pool })
		if !held && v.pools[s.Pool] != nil {
			v.add(problem.Field(at, "Pool"), strconv.Quote(s.Pool), "a pool that one of Models names")
		}
	default:
		v.add(problem.Field(at, "Kind"), strconv.Quote(string(s.Kind)), `"Model" or "Plain"`)
	}
}

func (v *validator) dependsOn(at string, s *Service) {
	seen := make(map[string]string)
	for i, name := range s.DependsOn {
		path := problem.Index(problem.Field(at, "DependsOn"), i)
		if v.services[name] == nil {
			v.add(path, strconv.Quote(name), "the Name of one of Services")
			continue
		}
		v.once(path, strconv.Quote(name), name, "each service once", seen)
	}
}

func (v *validator) classes(at string, s *Service) {
	path := problem.Field(at, "Classes")
	if len(s.Classes) == 0 {
		v.add(path, "no class", "at least one; a class without Methods and PathPrefix matches every request")
	}
	names := v.unique("class of the service", problem.IsName, problem.AllowedName)
	for i := range s.Classes {
		c := &s.Classes[i]
		at := problem.Index(path, i)
		names(problem.Field(at, "Name"), c.Name)
		v.class(at, c)
		for j := range s.Classes[:i] {
			if s.Classes[j].covers(c) {
				v.add(at, "a class that is never reached, since "+problem.Index(path, j)+" matches its requests first",
					"the narrower class before the wider one")
				break
			}
		}
	}
}

func (v *validator) class(at string, c *Class) {
	if c.Urgency < 0 || c.Urgency > maxUrgency {
		v.add(problem.Field(at, "Urgency"), number(c.Urgency), "0 to "+number(maxUrgency))
	}
	if c.EstimatedCost < 0 {
		v.add(problem.Field(at, "EstimatedCost"), float(c.EstimatedCost), "0 or more")
	}
	if c.PathPrefix != "" && !strings.HasPrefix(c.PathPrefix, "/") {
		v.add(problem.Field(at, "PathPrefix"), strconv.Quote(c.PathPrefix), `a path that begins with "/"`)
	}
	seen := make(map[string]string)
	for i, method := range c.Methods {
		path := problem.Index(problem.Field(at, "Methods"), i)
		if v.matches(path, method, methodPattern.MatchString, `a method in capitals such as "POST"`) {
			v.once(path, strconv.Quote(method), method, "each method once", seen)
		}
	}
}

// cycles reports every service that depends on itself through others.
func (v *validator) cycles() {
	const (
		unseen = iota
		open
		done
	)
	states := make(map[string]int, len(v.doc.Services))
	var visit func(name string, trail []string)
	visit = func(name string, trail []string) {
		s := v.services[name]
		if s == nil || states[name] == done {
			return
		}
		trail = append(trail, name)
		if states[name] == open {
			v.cycle(trail)
			return
		}
		states[name] = open
		for _, next := range s.DependsOn {
			visit(next, trail)
		}
		states[name] = done
	}
	for i := range v.doc.Services {
		visit(v.doc.Services[i].Name, nil)
	}
}

// cycle reports the cycle that ends the trail, at the dependency closing it.
func (v *validator) cycle(trail []string) {
	last := trail[len(trail)-1]
	from := trail[len(trail)-2]
	cycle := trail[slices.Index(trail, last):]
	for i := range v.doc.Services {
		if &v.doc.Services[i] != v.services[from] {
			continue
		}
		path := problem.Field(problem.Index("Services", i), "DependsOn")
		at := problem.Index(path, slices.Index(v.doc.Services[i].DependsOn, last))
		v.add(at, "the cycle "+strings.Join(cycle, " -> "), "dependencies without a cycle")
		return
	}
}

// covers reports whether every request that other matches is matched by c.
func (c *Class) covers(other *Class) bool {
	if !matchesPath(c.PathPrefix, other.PathPrefix) {
		return false
	}
	if len(c.Methods) == 0 {
		return true
	}
	if len(other.Methods) == 0 {
		return false
	}
	for _, method := range other.Methods {
		if !slices.Contains(c.Methods, method) {
			return false
		}
	}
	return true
}

// matchesPath reports whether the path lies under the prefix, by whole
// segments: "/board" covers "/board/7" and not "/boards".
func matchesPath(prefix, path string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	if !ok {
		return false
	}
	return rest == "" || prefix == "" || strings.HasSuffix(prefix, "/") || rest[0] == '/'
}
