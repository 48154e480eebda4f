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

// Each function here returns the check of one kind of value, which stores the
// value into its target.

func identifier(into *string) func(string) error {
	return func(text string) error {
		if !namePattern.MatchString(text) {
			return errors.Errorf("%q is not lower case letters, digits and hyphens", text)
		}
		*into = text
		return nil
	}
}

func choice(into *string, allowed ...string) func(string) error {
	return func(text string) error {
		for _, a := range allowed {
			if text == a {
				*into = text
				return nil
			}
		}
		return errors.Errorf("%q is none of %s", text, strings.Join(allowed, ", "))
	}
}

func level(into *zapcore.Level) func(string) error {
	return func(text string) error {
		l, err := zapcore.ParseLevel(text)
		if err != nil || text != l.String() {
			return errors.Errorf("%q is none of debug, info, warn, error", text)
		}
		*into = l
		return nil
	}
}

func address(into *netip.AddrPort) func(string) error {
	return func(text string) error {
		a, err := netip.ParseAddrPort(text)
		if err != nil || a.Port() == 0 {
			return errors.Errorf("%q is not IP:PORT", text)
		}
		*into = a
		return nil
	}
}

func seeds(into *[]Seed) func(string) error {
	return func(text string) error {
		var out []Seed
		for _, part := range strings.Split(text, ",") {
			part = strings.TrimSpace(part)
			host, at, _ := strings.Cut(part, "=")
			var s Seed
			if identifier(&s.Name)(host) != nil || address(&s.Address)(at) != nil {
				return errors.Errorf("%q is not NAME=IP:PORT", part)
			}
			if slices.ContainsFunc(out, func(o Seed) bool { return o.Name == s.Name }) {
				return errors.Errorf("%s is given twice", s.Name)
			}
			out = append(out, s)
		}
		*into = out
		return nil
	}
}

// httpAddress checks http://IP:PORT.
func httpAddress(into *string) func(string) error {
	return func(text string) error {
		u, err := url.Parse(text)
		if err != nil || u.Scheme != "http" || u.Path != "" || u.RawQuery != "" || u.Fragment != "" || u.User != nil {
			return errors.Errorf("%q is not http://IP:PORT", text)
		}
		var a netip.AddrPort
		if err := address(&a)(u.Host); err != nil {
			return errors.Errorf("%q is not http://IP:PORT", text)
		}
		*into = text
		return nil
	}
}

func integer(into *int, least, most int) func(string) error {
	return func(text string) error {
		n, err := strconv.Atoi(text)
		if err != nil {
			return errors.Errorf("%q is not a whole number", text)
		}
		if n < least || n > most {
			return errors.Errorf("%d is out of range %d to %d", n, least, most)
		}
		*into = n
		return nil
	}
}

func decimal(into *float64, least, most float64) func(string) error {
	return func(text string) error {
		n, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return errors.Errorf("%q is not a number", text)
		}
		if !(n >= least && n <= most) {
			return errors.Errorf("%v is out of range %v to %v", n, least, most)
		}
		*into = n
		return nil
	}
}

func duration(into *time.Duration, least, most time.Duration) func(string) error {
	return func(text string) error {
		d, err := time.ParseDuration(text)
		if err != nil {
			return errors.Errorf("%q is not a time such as 500ms, 30s or 2m", text)
		}
		if d < least || d > most {
			return errors.Errorf("%v is out of range %v to %v", d, least, most)
		}
		*into = d
		return nil
	}
}

// pemFile checks that the file can be read and holds PEM.
func pemFile(folder string, into *string) func(string) error {
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
		*into = path
		return nil
	}
}
