// Package process holds the settings of an instance that the serve command starts. They are read once, from a JSON file with
// comments. The settings of an instance on a shared platform are in package deployment.
package process

import (
	"slices"

	"crocuswing/internal/settings/address"
	"crocuswing/internal/settings/document"
)

const (
	minTicketKeyBytes   = 16
	defaultDrainDelayMS = 2_000
	maxDrainDelayMS     = 60_000
)

// Settings are the settings of one instance. Addresses are "IP:port" literals.
type Settings struct {
	Instance        string   `json:"instance"`
	FailureDomain   string   `json:"failure-domain"`
	Region          string   `json:"region"`
	CallerAddress   string   `json:"caller-address"`
	PeerAddress     string   `json:"peer-address"`
	OperatorAddress string   `json:"operator-address"`
	PlatformAddress string   `json:"platform-address"`
	Peers           []string `json:"peers"`
	TicketKey       string   `json:"ticket-key"`
	DrainDelayMS    int      `json:"drain-delay-ms"`
	LogLevel        string   `json:"log-level"`
}

// Load reads and validates a settings file. Errors are of type *document.Error.
func Load(file string) (Settings, error) {
	doc, err := document.Read(file)
	if err != nil {
		return Settings{}, err
	}
	return Parse(doc)
}

// Parse decodes and validates a settings document. Errors are of type *document.Error.
func Parse(doc document.Document) (Settings, error) {
	s := Settings{LogLevel: "info", DrainDelayMS: defaultDrainDelayMS}
	if err := doc.Decode(&s); err != nil {
		return Settings{}, err
	}
	if err := s.checkValues(doc); err != nil {
		return Settings{}, err
	}
	return s, s.checkAddresses(doc)
}

func (s Settings) checkValues(doc document.Document) error {
	required := []struct{ key, value string }{
		{"instance", s.Instance},
		{"failure-domain", s.FailureDomain},
		{"region", s.Region},
	}
	for _, r := range required {
		if r.value == "" {
			return doc.KeyError(r.key, "is missing")
		}
	}
	if len(s.TicketKey) < minTicketKeyBytes {
		return doc.KeyError("ticket-key", "needs at least 16 bytes")
	}
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, s.LogLevel) {
		return doc.KeyError("log-level", "want debug, info, warn or error")
	}
	if s.DrainDelayMS < 0 || s.DrainDelayMS > maxDrainDelayMS {
		return doc.KeyError("drain-delay-ms", "want 0 to 60000")
	}
	return nil
}

func (s Settings) checkAddresses(doc document.Document) error {
	addresses := []struct{ key, value string }{
		{"caller-address", s.CallerAddress},
		{"peer-address", s.PeerAddress},
		{"operator-address", s.OperatorAddress},
		{"platform-address", s.PlatformAddress},
	}
	seen := make(map[string]string)
	for _, a := range addresses {
		if err := checkAddress(doc, a.key, a.value); err != nil {
			return err
		}
		if other, ok := seen[a.value]; ok {
			return doc.KeyError(a.key, "is the same address as "+other)
		}
		seen[a.value] = a.key
	}
	for _, peer := range s.Peers {
		if err := checkAddress(doc, "peers", peer); err != nil {
			return err
		}
	}
	return nil
}

func checkAddress(doc document.Document, key, value string) error {
	if reason := address.InvalidReason(value); reason != "" {
		return doc.KeyError(key, reason)
	}
	return nil
}
