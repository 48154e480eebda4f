package settings_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/jacinthd/settings"
)

// platformFields are the fields that the platform fills the template of deploy/ in from, as its
// page on deployment shows them.
const platformFields = `{
	"nodeName": "front-a-1", "role": "entry", "ip": "10.1.0.38", "zone": "a", "region": "south",
	"zones": {"a": "south", "b": "south", "c": "north"},
	"listen": {"front": "10.1.0.38:8149", "ready": "10.1.0.38:8141", "control": "10.1.0.38:8144"},
	"portRange": [7380, 7395], "limits": {"memoryMb": 284}, "dataDir": null, "seeds": [],
	"bounds": {"graceS": 8, "budgetRatio": 0.2, "budgetSlack": 58, "fencingRequired": true, "leaseMs": 3000},
	"provider": {"address": "10.200.1.7:8142"}
}`

var (
	sectionPattern     = regexp.MustCompile(`\{\{#([\w.]+)\}\}(.*?)\{\{/[\w.]+\}\}`)
	placeholderPattern = regexp.MustCompile(`\{\{([\w.]+)\}\}`)
)

// A fieldTree is the platform's fields, nested as in JSON.
type fieldTree map[string]any

// lookup returns the field at a dotted path, nil if there is none.
func (f fieldTree) lookup(path string) any {
	var at any = map[string]any(f)
	for name := range strings.SplitSeq(path, ".") {
		switch table := at.(type) {
		case map[string]any:
			at = table[name]
		case []any:
			i, err := strconv.Atoi(name)
			if err != nil || i >= len(table) {
				return nil
			}
			at = table[i]
		default:
			return nil
		}
	}
	return at
}

// set sets the field at a dotted path, or removes it if value is undefined.
func (f fieldTree) set(path string, value any) {
	table := map[string]any(f)
	names := strings.Split(path, ".")
	for _, name := range names[:len(names)-1] {
		table = table[name].(map[string]any)
	}
	if value == undefined {
		delete(table, names[len(names)-1])
		return
	}
	table[names[len(names)-1]] = value
}

// undefined stands for a field that isn't there.
var undefined = new(struct{})

// render fills the template in as the platform does: sections, values, nothing where there is none.
func (f fieldTree) render(template string) string {
	text := sectionPattern.ReplaceAllStringFunc(template, func(section string) string {
		m := sectionPattern.FindStringSubmatch(section)
		switch v := f.lookup(m[1]).(type) {
		case nil:
			return ""
		case bool:
			if !v {
				return ""
			}
		case map[string]any:
			var entries []string
			for _, key := range slices.Sorted(maps.Keys(v)) {
				entry := strings.NewReplacer("{{@}}", key, "{{.}}", fmt.Sprint(v[key]), "{{,}}", "").Replace(m[2])
				entries = append(entries, entry)
			}
			return strings.Join(entries, ",")
		}
		return m[2]
	})
	return placeholderPattern.ReplaceAllStringFunc(text, func(p string) string {
		v := f.lookup(placeholderPattern.FindStringSubmatch(p)[1])
		if v == nil {
			return ""
		}
		if _, ok := v.(string); ok {
			return v.(string)
		}
		raw, _ := json.Marshal(v)
		return string(raw)
	})
}

// readPlatform reads the settings that the platform makes of the template after the change.
func readPlatform(t *testing.T, change func(fieldTree)) (settings.Direct, error) {
	template, err := os.ReadFile(filepath.Join("..", "..", "deploy", "settings.ini"))
	require.NoError(t, err)
	fields := fieldTree{}
	require.NoError(t, json.Unmarshal([]byte(platformFields), &fields))
	change(fields)
	file := filepath.Join(t.TempDir(), "boot.ini")
	require.NoError(t, os.WriteFile(file, []byte(fields.render(string(template))), 0o600))
	d, err := settings.ReadDirect(file)
	if err != nil {
		require.True(t, strings.HasPrefix(err.Error(), file+": "))
		require.NotContains(t, err.Error(), "\n")
		return d, fmt.Errorf("%s", strings.TrimPrefix(err.Error(), file+": "))
	}
	return d, nil
}

// TestPlatformSettings guards against hosts that end at their start since the platform sets a value
// that the page allows: a fraction, a large number, or none.
func TestPlatformSettings(t *testing.T) {
	want, err := readPlatform(t, func(fieldTree) {})
	require.NoError(t, err)
	require.Equal(t, "front-a-1", want.Name)
	require.Equal(t, map[string]string{"a": "south", "b": "south", "c": "north"}, want.Regions)
	require.True(t, want.Fenced)
	require.Equal(t, 58.0, want.BaseRetries)
	require.Equal(t, 3*time.Second, want.OrderInterval)
	require.Equal(t, 8*time.Second, want.GracePeriod)
	require.Equal(t, 10*time.Second, want.QuotaWindow)
	require.Equal(t, 0.1, want.QuotaRatio)
	require.Zero(t, want.QuotaSlack)
	require.Equal(t, 5*time.Second, want.VersionBound)

	cases := []struct {
		path  string
		value any
		want  func(*settings.Direct)
	}{
		{"bounds.budgetSlack", 35.833333333333336, func(d *settings.Direct) { d.BaseRetries = 35.833333333333336 }},
		{"bounds.budgetSlack", 0, func(d *settings.Direct) { d.BaseRetries = 0 }},
		{"bounds.budgetSlack", 2e7, func(d *settings.Direct) { d.BaseRetries = 2e7 }},
		{"bounds.budgetSlack", undefined, func(d *settings.Direct) { d.BaseRetries = 10 }},
		{"bounds.budgetSlack", nil, func(d *settings.Direct) { d.BaseRetries = 10 }},
		{"bounds.budgetRatio", 1, func(d *settings.Direct) { d.RetryRatio = 1 }},
		{"bounds.budgetRatio", 2.5, func(d *settings.Direct) { d.RetryRatio = 2.5 }},
		{"bounds.budgetRatio", 0, func(d *settings.Direct) { d.RetryRatio = 0 }},
		{"bounds.budgetRatio", undefined, func(d *settings.Direct) { d.RetryRatio = 0.1 }},
		{"bounds.quotaWindowS", 8, func(d *settings.Direct) { d.QuotaWindow = 8 * time.Second }},
		{"bounds.quotaWindowS", 7.5, func(d *settings.Direct) { d.QuotaWindow = 7500 * time.Millisecond }},
		{"bounds.quotaOver", 0.25, func(d *settings.Direct) { d.QuotaRatio = 0.25 }},
		{"bounds.quotaOver", 0, func(d *settings.Direct) { d.QuotaRatio = 0 }},
		{"bounds.quotaSlack", 110000, func(d *settings.Direct) { d.QuotaSlack = 110000 }},
		{"bounds.quotaSlack", nil, func(d *settings.Direct) { d.QuotaSlack = 0 }},
		{"bounds.version_ms", 2500.5, func(d *settings.Direct) { d.VersionBound = 2500500 * time.Microsecond }},
		{"bounds.version_ms", undefined, func(d *settings.Direct) { d.VersionBound = 5 * time.Second }},
		{"bounds.version_ms", nil, func(d *settings.Direct) { d.VersionBound = 5 * time.Second }},
		{"bounds.leaseMs", 2500.5, func(d *settings.Direct) { d.OrderInterval = 2500500 * time.Microsecond }},
		{"bounds.leaseMs", 3600000, func(d *settings.Direct) { d.OrderInterval = time.Hour }},
		{"bounds.leaseMs", 0, func(d *settings.Direct) { d.OrderInterval = 0 }},
		{"bounds.leaseMs", undefined, func(d *settings.Direct) { d.OrderInterval = 3 * time.Second }},
		{"bounds.leaseMs", nil, func(d *settings.Direct) { d.OrderInterval = 3 * time.Second }},
		{"bounds.graceS", 7.25, func(d *settings.Direct) { d.GracePeriod = 7250 * time.Millisecond }},
		{"bounds.graceS", 86400, func(d *settings.Direct) { d.GracePeriod = 24 * time.Hour }},
		{"bounds.graceS", 0, func(d *settings.Direct) { d.GracePeriod = 0 }},
		{"bounds.graceS", undefined, func(d *settings.Direct) { d.GracePeriod = 8 * time.Second }},
		{"bounds.fencingRequired", false, func(d *settings.Direct) { d.Fenced = false }},
		{"bounds.fencingRequired", undefined, func(d *settings.Direct) { d.Fenced = false }},
		{"bounds.fencingRequired", nil, func(d *settings.Direct) { d.Fenced = false }},
		{"bounds.laterBound", []any{1, "x"}, func(*settings.Direct) {}},
		{"bounds", undefined, func(d *settings.Direct) {
			d.Fenced, d.RetryRatio, d.BaseRetries = false, 0.1, 10
		}},
		{"limits.memoryMb", 184.5, func(d *settings.Direct) { d.MemoryLimitMB = 184.5 }},
		{"limits.memoryMb", 4194304, func(d *settings.Direct) { d.MemoryLimitMB = 4194304 }},
		{"limits", undefined, func(d *settings.Direct) { d.MemoryLimitMB = 0 }},
		{"zones", map[string]any{}, func(d *settings.Direct) { d.Regions = map[string]string{"a": "a"} }},
		{"zones", undefined, func(d *settings.Direct) { d.Regions = map[string]string{"a": "a"} }},
		{"zones", map[string]any{"b": "south"}, func(d *settings.Direct) { d.Regions = map[string]string{"b": "south", "a": "a"} }},
		{"faultTolerance", nil, func(*settings.Direct) {}},
		{"later", map[string]any{"a": []any{}}, func(*settings.Direct) {}},
	}
	for _, c := range cases {
		t.Run(fmt.Sprint(c.path, " ", c.value), func(t *testing.T) {
			wanted, err := readPlatform(t, func(fieldTree) {})
			require.NoError(t, err)
			c.want(&wanted)
			got, err := readPlatform(t, func(f fieldTree) { f.set(c.path, c.value) })
			require.NoError(t, err)
			require.Equal(t, wanted, got)
		})
	}
}

// TestPlatformSettingsThatCannotBeServed checks that what no host can serve with is one clear line.
func TestPlatformSettingsThatCannotBeServed(t *testing.T) {
	cases := []struct {
		path  string
		value any
		want  string
	}{
		{"nodeName", undefined, "host.name: empty"},
		{"nodeName", "a/b", `host.name: "a/b" holds a slash`},
		{"zone", nil, "host.zone: empty"},
		{"listen.front", undefined, "listen.caller: empty"},
		{"listen.ready", "10.1.0.38", `listen.ready: "10.1.0.38" is not IP:PORT`},
		{"portRange", undefined, `listen.peer: "10.1.0.38:" is not IP:PORT`},
		{"portRange", []any{7380}, `listen.peer: "10.1.0.38:" is not IP:PORT`},
		{"ip", undefined, `listen.peer: ":7395" is not IP:PORT`},
		{"provider", undefined, "platform.address: empty"},
		{"provider", nil, "platform.address: empty"},
		{"bounds.budgetSlack", "many", `retries.slack: "many" is not a number`},
		{"bounds.budgetSlack", -1, "retries.slack: -1 is out of range 0 to 1e+09"},
		{"bounds.budgetRatio", "NaN", "retries.share: NaN is out of range 0 to 1e+06"},
		{"bounds.fencingRequired", "perhaps", `orders.fenced: "perhaps" is neither true nor false`},
		{"bounds.leaseMs", "soon", `orders.turn: "soonms" is not a time such as 500ms, 30s or 2m`},
		{"bounds.graceS", -3, "stop.grace: -3s is out of range 0s to 8760h0m0s"},
	}
	for _, c := range cases {
		t.Run(fmt.Sprint(c.path, " ", c.value), func(t *testing.T) {
			_, err := readPlatform(t, func(f fieldTree) { f.set(c.path, c.value) })
			require.EqualError(t, err, c.want)
		})
	}
}
