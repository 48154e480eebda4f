package main

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"jacinthstage/jacinthd/settings"
)

// logger makes the process's log.
func logger(s settings.Log) (*zap.Logger, error) {
	config := zap.NewProductionConfig()
	if s.Format == settings.Console {
		config = zap.NewDevelopmentConfig()
		config.DisableStacktrace = true
	}
	config.Level = zap.NewAtomicLevelAt(s.Level)
	config.Sampling = nil
	config.DisableCaller = true
	return config.Build(zap.WrapCore(func(core zapcore.Core) zapcore.Core { return brief{core} }))
}

// brief is a core that writes an error's text without its stack, which
// pkg/errors would add to each line.
type brief struct{ zapcore.Core }

// With implements zapcore.Core.
func (b brief) With(fields []zapcore.Field) zapcore.Core {
	return brief{b.Core.With(shorten(fields))}
}

// Check implements zapcore.Core.
func (b brief) Check(e zapcore.Entry, c *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if b.Enabled(e.Level) {
		return c.AddCore(e, b)
	}
	return c
}

// Write implements zapcore.Core.
func (b brief) Write(e zapcore.Entry, fields []zapcore.Field) error {
	return b.Core.Write(e, shorten(fields))
}

func shorten(fields []zapcore.Field) []zapcore.Field {
	short := make([]zapcore.Field, len(fields))
	for i, f := range fields {
		if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
			f = zap.String(f.Key, err.Error())
		}
		short[i] = f
	}
	return short
}
