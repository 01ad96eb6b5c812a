package set

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"crocuswing/internal/config/trie"
	"crocuswing/internal/settings/document"
	"crocuswing/internal/wire/manifest"
)

// Kinds of values: the part of a value's name before the slash.
const (
	kindPreset  = "preset"
	kindService = "service"
	kindDomain  = "domain"
	kindClass   = "class"
	kindCaller  = "caller"
)

// inForce is the value that selects the preset in force.
type inForce struct {
	Preset string `json:"preset"`
}

type checker interface{ Check() error }

// affected collects the callers and classes whose references to each other a change may have invalidated.
type affected struct {
	callers map[string]bool
	classes map[string]bool
}

func newAffected() affected {
	return affected{callers: make(map[string]bool), classes: make(map[string]bool)}
}

// add parses and validates a value and adds it under its name, which must not exist.
func (s *Set) add(name string, content []byte, a affected) error {
	doc, err := document.New(name, content)
	if err != nil {
		return err
	}
	if err := s.addParsed(doc, name, a); err != nil {
		return err
	}
	hash := manifest.Hash(content)
	s.values = s.values.With(name, Value{Hash: hash, Content: bytes.Clone(content)})
	s.digest = s.digest.With(name, hash)
	return nil
}

func (s *Set) addParsed(doc document.Document, name string, a affected) error {
	kind, key, _ := strings.Cut(name, "/")
	switch kind {
	case InForce:
		return s.addInForce(doc, name)
	case kindPreset:
		return addValue(doc, key, &s.presets)
	case kindService:
		return addValue(doc, key, &s.services)
	case kindDomain:
		if err := addValue(doc, key, &s.domains); err != nil {
			return err
		}
		s.addExcludedDomain(key)
		return nil
	case kindClass:
		return addValue(doc, key, &s.classes)
	case kindCaller:
		if err := addValue(doc, key, &s.callers); err != nil {
			return err
		}
		return s.addCaller(key, a)
	}
	return fmt.Errorf("unknown kind of value %q", kind)
}

func (s *Set) addInForce(doc document.Document, name string) error {
	if name != InForce {
		return fmt.Errorf("want the name %q", InForce)
	}
	var v inForce
	err := doc.Decode(&v)
	s.inForce = v.Preset
	return err
}

// namedValue is a value that can be validated and that contains its published name.
type namedValue interface {
	checker
	PublishedName() string
}

func addValue[T namedValue](doc document.Document, key string, values *trie.Trie[T]) error {
	var v T
	if err := doc.Decode(&v); err != nil {
		return err
	}
	if err := v.Check(); err != nil {
		return err
	}
	if v.PublishedName() != key {
		return fmt.Errorf("its name is %q", v.PublishedName())
	}
	*values = values.With(key, v)
	return nil
}

// addExcludedDomain adds the domain to the excluded ones if it is excluded.
func (s *Set) addExcludedDomain(name string) {
	if d, _ := s.domains.Get(name); d.Excluded {
		excluded := append(slices.Clone(s.excludedDomains), name)
		slices.Sort(excluded)
		s.excludedDomains = excluded
	}
}

// addCaller adds the caller to the indexes by key and by class. A key must belong to one caller only.
func (s *Set) addCaller(name string, a affected) error {
	c, _ := s.callers.Get(name)
	if other, ok := s.callerByKey.Get(c.Key); ok {
		return fmt.Errorf("has the key of caller %q", other)
	}
	s.callerByKey = s.callerByKey.With(c.Key, name)
	n, _ := s.callersByClass.Get(c.Class)
	s.callersByClass = s.callersByClass.With(c.Class, n+1)
	a.callers[name] = true
	return nil
}

// remove removes a value if it exists.
func (s *Set) remove(name string, a affected) {
	v, ok := s.values.Get(name)
	if !ok {
		return
	}
	s.values = s.values.Without(name)
	s.digest = s.digest.Without(name, v.Hash)
	kind, key, _ := strings.Cut(name, "/")
	switch kind {
	case InForce:
		s.inForce = ""
	case kindPreset:
		s.presets = s.presets.Without(key)
	case kindService:
		s.services = s.services.Without(key)
	case kindDomain:
		s.domains = s.domains.Without(key)
		s.excludedDomains = slices.DeleteFunc(slices.Clone(s.excludedDomains), func(domain string) bool { return domain == key })
	case kindClass:
		s.classes = s.classes.Without(key)
		a.classes[key] = true
	case kindCaller:
		s.removeCaller(key)
	}
}

func (s *Set) removeCaller(name string) {
	c, _ := s.callers.Get(name)
	s.callers = s.callers.Without(name)
	s.callerByKey = s.callerByKey.Without(c.Key)
	n, _ := s.callersByClass.Get(c.Class)
	s.callersByClass = s.callersByClass.With(c.Class, n-1)
}

// check validates the reference to the preset in force and the references of the affected values.
func (s *Set) check(a affected) error {
	if _, ok := s.presets.Get(s.inForce); !ok {
		return &Error{Revision: s.revision, Value: InForce, Err: fmt.Errorf("names preset %q, which does not exist", s.inForce)}
	}
	for name := range a.callers {
		if err := s.checkCaller(name); err != nil {
			return err
		}
	}
	for name := range a.classes {
		_, ok := s.classes.Get(name)
		if n, _ := s.callersByClass.Get(name); n > 0 && !ok {
			err := fmt.Errorf("does not exist and has %d callers", n)
			return &Error{Revision: s.revision, Value: kindClass + "/" + name, Err: err}
		}
	}
	return nil
}

func (s *Set) checkCaller(name string) error {
	c, ok := s.callers.Get(name)
	if !ok {
		return nil
	}
	if _, ok := s.classes.Get(c.Class); !ok {
		err := fmt.Errorf("class %q does not exist", c.Class)
		return &Error{Revision: s.revision, Value: kindCaller + "/" + name, Err: err}
	}
	return nil
}
