package preset_test

import (
	"testing"

	"crocuswing/internal/config/preset"

	"github.com/stretchr/testify/require"
)

func TestCheck(t *testing.T) {
	valid := preset.Preset{
		Name: "peak", DeadlineMS: 1000, AnswerPolicy: preset.PolicyTail, TailWaitMS: 200,
		HedgeQuantile: 0.95, HedgeShare: 0.05, RetryShare: 0.1,
	}
	require.NoError(t, valid.Check())
	require.InDelta(t, 0.999, valid.EffectiveTailQuantile(), 0)
	for name, change := range map[string]func(*preset.Preset){
		"name":                func(p *preset.Preset) { p.Name = "" },
		"deadline":            func(p *preset.Preset) { p.DeadlineMS = 0 },
		"long deadline":       func(p *preset.Preset) { p.DeadlineMS = 60_001 },
		"policy":              func(p *preset.Preset) { p.AnswerPolicy = "fast" },
		"tail wait":           func(p *preset.Preset) { p.TailWaitMS = 0 },
		"long tail wait":      func(p *preset.Preset) { p.TailWaitMS = 1001 },
		"tail quantile":       func(p *preset.Preset) { p.TailQuantile = 1 },
		"low tail quantile":   func(p *preset.Preset) { p.TailQuantile = -0.1 },
		"hedge quantile":      func(p *preset.Preset) { p.HedgeQuantile = 1 },
		"zero hedge quantile": func(p *preset.Preset) { p.HedgeQuantile = 0 },
		"hedge share":         func(p *preset.Preset) { p.HedgeShare = 1.1 },
		"retry share":         func(p *preset.Preset) { p.RetryShare = -0.1 },
	} {
		p := valid
		change(&p)
		require.Error(t, p.Check(), name)
	}
}
