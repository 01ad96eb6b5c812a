// Package set holds one whole revision of the published configuration.
package set

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"crocuswing/internal/config/caller"
	"crocuswing/internal/config/class"
	"crocuswing/internal/config/domain"
	"crocuswing/internal/config/preset"
	"crocuswing/internal/config/service"
	"crocuswing/internal/settings/document"
	"crocuswing/internal/wire/manifest"

	"github.com/cespare/xxhash/v2"
)

// InForce is the name of the value that names the preset in force.
const InForce = "in-force"

// Set is an immutable revision of the configuration, checked as a whole.
type Set struct {
	revision uint64
	digest   uint64
	inForce  string
	presets  map[string]preset.Preset
	services map[string]service.Service
	domains  map[string]domain.Domain
	classes  map[string]class.Class
	callers  map[string]caller.Caller
	byKey    map[string]caller.Caller
}

// Error names the value that makes a revision invalid.
type Error struct {
	Revision uint64
	Value    string
	Err      error
}

// Error gives the revision, the value's name and the reason.
func (e *Error) Error() string {
	return fmt.Sprintf("configuration revision %d: %s: %v", e.Revision, e.Value, e.Err)
}

// Unwrap gives the cause.
func (e *Error) Unwrap() error { return e.Err }

type inForce struct {
	Preset string `json:"preset"`
}

type checker interface{ Check() error }

// Parse makes a set from its values, by name. It fails with *Error.
func Parse(revision uint64, values map[string][]byte) (Set, error) {
	s := Set{
		revision: revision,
		presets:  make(map[string]preset.Preset),
		services: make(map[string]service.Service),
		domains:  make(map[string]domain.Domain),
		classes:  make(map[string]class.Class),
		callers:  make(map[string]caller.Caller),
		byKey:    make(map[string]caller.Caller),
	}
	digest := xxhash.New()
	for _, name := range slices.Sorted(maps.Keys(values)) {
		if err := s.add(name, values[name]); err != nil {
			return Set{}, &Error{Revision: revision, Value: name, Err: err}
		}
		_, _ = digest.WriteString(name + "=" + manifest.Hash(values[name]) + "\n")
	}
	s.digest = digest.Sum64()
	return s, s.check()
}

func (s *Set) add(name string, text []byte) error {
	doc, err := document.New(name, text)
	if err != nil {
		return err
	}
	kind, key, _ := strings.Cut(name, "/")
	switch kind {
	case InForce:
		var v inForce
		err = doc.Decode(&v)
		s.inForce = v.Preset
	case "preset":
		err = addTo(doc, key, s.presets, func(p preset.Preset) string { return p.Name })
	case "service":
		err = addTo(doc, key, s.services, func(v service.Service) string { return v.Name })
	case "domain":
		err = addTo(doc, key, s.domains, func(d domain.Domain) string { return d.Name })
	case "class":
		err = addTo(doc, key, s.classes, func(c class.Class) string { return c.Name })
	case "caller":
		err = addTo(doc, key, s.callers, func(c caller.Caller) string { return c.Name })
	default:
		err = fmt.Errorf("unknown kind of value %q", kind)
	}
	return err
}

func addTo[T checker](doc document.Document, key string, values map[string]T, nameOf func(T) string) error {
	var v T
	if err := doc.Decode(&v); err != nil {
		return err
	}
	if err := v.Check(); err != nil {
		return err
	}
	if nameOf(v) != key {
		return fmt.Errorf("its name is %q", nameOf(v))
	}
	values[key] = v
	return nil
}

func (s *Set) check() error {
	if s.revision == 0 {
		return &Error{Revision: s.revision, Value: "revision", Err: fmt.Errorf("want at least 1")}
	}
	if _, ok := s.presets[s.inForce]; !ok {
		return &Error{Revision: s.revision, Value: InForce, Err: fmt.Errorf("names preset %q, which does not exist", s.inForce)}
	}
	for _, c := range s.callers {
		if _, ok := s.classes[c.Class]; !ok {
			return &Error{Revision: s.revision, Value: "caller/" + c.Name, Err: fmt.Errorf("class %q does not exist", c.Class)}
		}
		if other, ok := s.byKey[c.Key]; ok {
			return &Error{Revision: s.revision, Value: "caller/" + c.Name, Err: fmt.Errorf("has the key of caller %q", other.Name)}
		}
		s.byKey[c.Key] = c
	}
	return nil
}

// Revision is the number of the revision; 0 means that there is none yet.
func (s Set) Revision() uint64 { return s.revision }

// Digest is a hash over all names and contents.
func (s Set) Digest() uint64 { return s.digest }

// Preset is the preset in force.
func (s Set) Preset() preset.Preset { return s.presets[s.inForce] }

// Service finds a service by name.
func (s Set) Service(name string) (service.Service, bool) {
	v, ok := s.services[name]
	return v, ok
}

// Services gives all services in the order of their names.
func (s Set) Services() []service.Service {
	names := slices.Sorted(maps.Keys(s.services))
	all := make([]service.Service, 0, len(names))
	for _, name := range names {
		all = append(all, s.services[name])
	}
	return all
}

// IsOut tells whether operators have taken the failure domain out.
func (s Set) IsOut(failureDomain string) bool { return s.domains[failureDomain].Out }

// DomainsOut gives the names of the failure domains that are out, sorted.
func (s Set) DomainsOut() []string {
	out := make([]string, 0)
	for name, d := range s.domains {
		if d.Out {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// CallerByKey finds a caller and its class by the caller's key.
func (s Set) CallerByKey(key string) (caller.Caller, class.Class, bool) {
	c, ok := s.byKey[key]
	return c, s.classes[c.Class], ok
}
