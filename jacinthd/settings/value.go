package settings

import (
	"encoding/pem"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap/zapcore"
)

// Each function in this file returns a function that validates the text of one
// kind of value and stores the parsed value in dst.

// identifier accepts a name of lower case letters, digits and hyphens.
func identifier(dst *string) func(string) error {
	return func(text string) error {
		if !namePattern.MatchString(text) {
			return errors.Errorf("%q is not lower case letters, digits and hyphens", text)
		}
		*dst = text
		return nil
	}
}

// choice accepts one of the allowed texts.
func choice(dst *string, allowed ...string) func(string) error {
	return func(text string) error {
		for _, a := range allowed {
			if text == a {
				*dst = text
				return nil
			}
		}
		return errors.Errorf("%q is none of %s", text, strings.Join(allowed, ", "))
	}
}

// level accepts the name of a log level in lower case.
func level(dst *zapcore.Level) func(string) error {
	return func(text string) error {
		l, err := zapcore.ParseLevel(text)
		if err != nil || text != l.String() {
			return errors.Errorf("%q is none of debug, info, warn, error", text)
		}
		*dst = l
		return nil
	}
}

// address accepts IP:PORT with a port other than zero.
func address(dst *netip.AddrPort) func(string) error {
	return func(text string) error {
		a, err := netip.ParseAddrPort(text)
		if err != nil || a.Port() == 0 {
			return errors.Errorf("%q is not IP:PORT", text)
		}
		*dst = a
		return nil
	}
}

// seeds accepts a list NAME=IP:PORT,NAME=IP:PORT of distinct names.
func seeds(dst *[]Seed) func(string) error {
	return func(text string) error {
		var out []Seed
		for _, part := range strings.Split(text, ",") {
			part = strings.TrimSpace(part)
			host, addr, _ := strings.Cut(part, "=")
			var s Seed
			if identifier(&s.Name)(host) != nil || address(&s.Address)(addr) != nil {
				return errors.Errorf("%q is not NAME=IP:PORT", part)
			}
			if slices.ContainsFunc(out, func(o Seed) bool { return o.Name == s.Name }) {
				return errors.Errorf("%s is given twice", s.Name)
			}
			out = append(out, s)
		}
		*dst = out
		return nil
	}
}

// httpAddress accepts http://IP:PORT.
func httpAddress(dst *string) func(string) error {
	return func(text string) error {
		u, err := url.Parse(text)
		if err != nil || u.Scheme != "http" || u.Path != "" || u.RawQuery != "" || u.Fragment != "" || u.User != nil {
			return errors.Errorf("%q is not http://IP:PORT", text)
		}
		var a netip.AddrPort
		if err := address(&a)(u.Host); err != nil {
			return errors.Errorf("%q is not http://IP:PORT", text)
		}
		*dst = text
		return nil
	}
}

// integer accepts a decimal integer between lowest and highest.
func integer(dst *int, lowest, highest int) func(string) error {
	return func(text string) error {
		n, err := strconv.Atoi(text)
		if err != nil {
			return errors.Errorf("%q is not a whole number", text)
		}
		if n < lowest || n > highest {
			return errors.Errorf("%d is out of range %d to %d", n, lowest, highest)
		}
		*dst = n
		return nil
	}
}

// decimal accepts a number between lowest and highest. The negated comparison
// rejects NaN.
func decimal(dst *float64, lowest, highest float64) func(string) error {
	return func(text string) error {
		n, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return errors.Errorf("%q is not a number", text)
		}
		if !(n >= lowest && n <= highest) {
			return errors.Errorf("%v is out of range %v to %v", n, lowest, highest)
		}
		*dst = n
		return nil
	}
}

// duration accepts a Go duration between lowest and highest.
func duration(dst *time.Duration, lowest, highest time.Duration) func(string) error {
	return func(text string) error {
		d, err := time.ParseDuration(text)
		if err != nil {
			return errors.Errorf("%q is not a time such as 500ms, 30s or 2m", text)
		}
		if d < lowest || d > highest {
			return errors.Errorf("%v is out of range %v to %v", d, lowest, highest)
		}
		*dst = d
		return nil
	}
}

// pemFile accepts the path of a readable file that contains a PEM block. A
// relative path is resolved against folder.
func pemFile(folder string, dst *string) func(string) error {
	return func(text string) error {
		path := text
		if !filepath.IsAbs(path) {
			path = filepath.Join(folder, path)
		}
		info, err := os.Stat(path)
		if err != nil {
			return errors.Errorf("%s: %v", path, withoutPath(err))
		}
		if !info.Mode().IsRegular() || info.Size() > maxKeyFileSize {
			return errors.Errorf("%s: not a PEM file", path)
		}
		content, err := os.ReadFile(path)
		if err != nil {
			return errors.Errorf("%s: %v", path, withoutPath(err))
		}
		if block, _ := pem.Decode(content); block == nil {
			return errors.Errorf("%s: not a PEM file", path)
		}
		*dst = path
		return nil
	}
}
