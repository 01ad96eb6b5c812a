// Package reload watches the settings file of a running instance and applies its changes.
package reload

import (
	"bytes"
	"context"
	"os"
	"time"

	"go.uber.org/zap"
)

// checkInterval is the time between checks of the file, which may change without a signal.
const checkInterval = 2 * time.Second

// Watch reads the file periodically and on each signal, and calls apply with its content whenever that has changed, until
// ctx ends. It logs errors of apply; rejected content is not passed again.
func Watch(ctx context.Context, path string, signals <-chan os.Signal, log *zap.Logger, apply func(content []byte) error) {
	previous, err := os.ReadFile(path)
	if err != nil {
		log.Warn("settings cannot be read", zap.String("file", path), zap.Error(err))
	}
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		signaled := false
		select {
		case <-ctx.Done():
			return
		case <-signals:
			signaled = true
		case <-ticker.C:
		}
		content, err := os.ReadFile(path)
		switch {
		case err != nil:
			log.Warn("settings cannot be read", zap.String("file", path), zap.Error(err))
		case bytes.Equal(content, previous) && signaled:
			log.Info("settings are unchanged", zap.String("file", path))
		case !bytes.Equal(content, previous):
			previous = content
			if err := apply(content); err != nil {
				log.Error("new settings are refused, the former ones stay in force", zap.Error(err))
				continue
			}
			log.Info("settings reloaded", zap.String("file", path), zap.Bool("by-signal", signaled))
		}
	}
}
