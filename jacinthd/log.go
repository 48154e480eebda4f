package main

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"jacinthstage/jacinthd/settings"
)

// newLogger returns the logger of the process, which writes lines from level on.
func newLogger(format string, level zap.AtomicLevel) (*zap.Logger, error) {
	config := zap.NewProductionConfig()
	if format == settings.Console {
		config = zap.NewDevelopmentConfig()
		config.DisableStacktrace = true
	}
	config.Level = level
	config.Sampling = nil
	config.DisableCaller = true
	return config.Build(zap.WrapCore(func(core zapcore.Core) zapcore.Core { return plainErrorCore{core} }))
}

// plainErrorCore is a zapcore.Core that logs only the message of an error. Errors
// from pkg/errors would otherwise add their stack trace to each log line.
type plainErrorCore struct{ zapcore.Core }

// With implements zapcore.Core.
func (b plainErrorCore) With(fields []zapcore.Field) zapcore.Core {
	return plainErrorCore{b.Core.With(plainErrors(fields))}
}

// Check implements zapcore.Core.
func (b plainErrorCore) Check(e zapcore.Entry, c *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if b.Enabled(e.Level) {
		return c.AddCore(e, b)
	}
	return c
}

// Write implements zapcore.Core.
func (b plainErrorCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	return b.Core.Write(e, plainErrors(fields))
}

// plainErrors replaces error fields by string fields that hold the message.
func plainErrors(fields []zapcore.Field) []zapcore.Field {
	out := make([]zapcore.Field, len(fields))
	for i, f := range fields {
		if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
			f = zap.String(f.Key, err.Error())
		}
		out[i] = f
	}
	return out
}
