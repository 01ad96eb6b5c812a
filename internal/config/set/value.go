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

// Kinds of value: the part of a value's name before the slash.
const (
	kindPreset  = "preset"
	kindService = "service"
	kindDomain  = "domain"
	kindClass   = "class"
	kindCaller  = "caller"
)

type inForce struct {
	Preset string `json:"preset"`
}

type checker interface{ Check() error }

// touched names what a change may have broken in other values.
type touched struct {
	callers map[string]bool
	classes map[string]bool
}

func newTouched() touched {
	return touched{callers: make(map[string]bool), classes: make(map[string]bool)}
}

func (s *Set) add(name string, text []byte, t touched) error {
	doc, err := document.New(name, text)
	if err != nil {
		return err
	}
	if err := s.addParsed(doc, name, t); err != nil {
		return err
	}
	hash := manifest.Hash(text)
	s.texts = s.texts.With(name, Value{Hash: hash, Content: bytes.Clone(text)})
	s.digest = s.digest.With(name, hash)
	return nil
}

func (s *Set) addParsed(doc document.Document, name string, t touched) error {
	kind, key, _ := strings.Cut(name, "/")
	switch kind {
	case InForce:
		return s.addInForce(doc, name)
	case kindPreset:
		return addTo(doc, key, &s.presets)
	case kindService:
		return addTo(doc, key, &s.services)
	case kindDomain:
		if err := addTo(doc, key, &s.domains); err != nil {
			return err
		}
		s.addOut(key)
		return nil
	case kindClass:
		return addTo(doc, key, &s.classes)
	case kindCaller:
		if err := addTo(doc, key, &s.callers); err != nil {
			return err
		}
		return s.addCaller(key, t)
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

// named is a checked value that knows its name.
type named interface {
	checker
	PublishedName() string
}

func addTo[T named](doc document.Document, key string, values *trie.Trie[T]) error {
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

func (s *Set) addOut(name string) {
	if d, _ := s.domains.Get(name); d.Excluded {
		out := append(slices.Clone(s.out), name)
		slices.Sort(out)
		s.out = out
	}
}

func (s *Set) addCaller(name string, t touched) error {
	c, _ := s.callers.Get(name)
	if other, ok := s.byKey.Get(c.Key); ok {
		return fmt.Errorf("has the key of caller %q", other)
	}
	s.byKey = s.byKey.With(c.Key, name)
	n, _ := s.users.Get(c.Class)
	s.users = s.users.With(c.Class, n+1)
	t.callers[name] = true
	return nil
}

// remove takes a value off, if it is there.
func (s *Set) remove(name string, t touched) {
	text, ok := s.texts.Get(name)
	if !ok {
		return
	}
	s.texts = s.texts.Without(name)
	s.digest = s.digest.Without(name, text.Hash)
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
		s.out = slices.DeleteFunc(slices.Clone(s.out), func(out string) bool { return out == key })
	case kindClass:
		s.classes = s.classes.Without(key)
		t.classes[key] = true
	case kindCaller:
		s.removeCaller(key)
	}
}

func (s *Set) removeCaller(name string) {
	c, _ := s.callers.Get(name)
	s.callers = s.callers.Without(name)
	s.byKey = s.byKey.Without(c.Key)
	n, _ := s.users.Get(c.Class)
	s.users = s.users.With(c.Class, n-1)
}

// check proves what spans several values, as far as a change may have broken it.
func (s *Set) check(t touched) error {
	if _, ok := s.presets.Get(s.inForce); !ok {
		return &Error{Revision: s.revision, Value: InForce, Err: fmt.Errorf("names preset %q, which does not exist", s.inForce)}
	}
	for name := range t.callers {
		if err := s.checkCaller(name); err != nil {
			return err
		}
	}
	for name := range t.classes {
		_, ok := s.classes.Get(name)
		if n, _ := s.users.Get(name); n > 0 && !ok {
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
