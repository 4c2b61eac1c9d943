package observe

import "go.uber.org/zap/zapcore"

// plainErrors logs errors by their message only. The errors of this project carry stack traces, and zap would otherwise
// write them as a second field of several kilobytes beside each error.
type plainErrors struct {
	zapcore.Core
}

// With adds fields to all entries.
func (c plainErrors) With(fields []zapcore.Field) zapcore.Core {
	return plainErrors{c.Core.With(plain(fields))}
}

// Check adds the core to entries of its level.
func (c plainErrors) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return checked.AddCore(e, c)
	}
	return checked
}

// Write writes an entry.
func (c plainErrors) Write(e zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(e, plain(fields))
}

func plain(fields []zapcore.Field) []zapcore.Field {
	out := make([]zapcore.Field, len(fields))
	for i, f := range fields {
		if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
			f = zapcore.Field{Key: f.Key, Type: zapcore.StringType, String: err.Error()}
		}
		out[i] = f
	}
	return out
}
