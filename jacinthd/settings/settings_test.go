package settings_test

import (
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap/zapcore"

	"jacinthstage/jacinthd/settings"
)

const pemText = "-----BEGIN CERTIFICATE-----\nAAAA\n-----END CERTIFICATE-----\n"

const minimal = `
[host]
name = entry-1
region = south
zone = south-a
[listen]
caller = 127.0.0.1:8001
peer = 127.0.0.1:8002
admin = 127.0.0.1:8003
[platform]
address = http://127.0.0.1:9000
[keys]
authority = authority.pem
certificate = host.pem
key = host.key
[load]
rate = 4
`

// writeFiles writes key files and a settings file with the text, and returns the
// folder and the path of the settings file.
func writeFiles(t testing.TB, text string) (string, string) {
	dir := t.TempDir()
	for _, name := range []string{"authority.pem", "host.pem", "host.key"} {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(pemText), 0o600))
	}
	require.NoError(t, os.WriteFile(filepath.Join(dir, "text"), []byte("no PEM"), 0o600))
	file := filepath.Join(dir, "host.ini")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return dir, file
}

func TestRead(t *testing.T) {
	dir, file := writeFiles(t, minimal+"[peers]\nseeds = entry-2=127.0.0.1:1, entry-3=[::1]:2\n[limits]\nfar = 5000\n[log]\nlevel = debug\nformat = console\n")
	got, err := settings.Read(file)
	require.NoError(t, err)
	require.Equal(t, settings.Settings{
		Host:     settings.Host{Name: "entry-1", Region: "south", Zone: "south-a"},
		Listen:   settings.Listen{Caller: netip.MustParseAddrPort("127.0.0.1:8001"), Peer: netip.MustParseAddrPort("127.0.0.1:8002"), Admin: netip.MustParseAddrPort("127.0.0.1:8003")},
		Platform: settings.Platform{Address: "http://127.0.0.1:9000"},
		Keys:     settings.Keys{Authority: filepath.Join(dir, "authority.pem"), Certificate: filepath.Join(dir, "host.pem"), Key: filepath.Join(dir, "host.key")},
		Peers:    settings.Peers{Seeds: []settings.Seed{{Name: "entry-2", Address: netip.MustParseAddrPort("127.0.0.1:1")}, {Name: "entry-3", Address: netip.MustParseAddrPort("[::1]:2")}}},
		Limits:   settings.Limits{Body: 1 << 20, Prompt: 1 << 18, Queue: 256, Requests: 2048, CrossRegionRate: 5000, DefaultDeadline: 30 * time.Second, MaxDeadline: 2 * time.Minute},
		Lease:    settings.Lease{Duration: 10 * time.Second, RenewalInterval: 3 * time.Second},
		Load:     settings.Load{Rate: 4, InFlight: 8},
		Policy:   settings.Policy{Kind: settings.Rendezvous, Weight: 0.5},
		Log:      settings.Log{Level: zapcore.DebugLevel, Format: settings.Console},
	}, got)
}

func TestReadRefuses(t *testing.T) {
	replace := func(old, text string) string { return strings.Replace(minimal, old, text, 1) }
	cases := []struct{ name, text, want string }{
		{"unknown section", minimal + "[extra]\n", "extra: unknown section"},
		{"unknown key", minimal + "burst = 1\n", "load.burst: unknown key"},
		{"key outside of any section", "name = x\n" + minimal, "name: outside of any section"},
		{"optional key given twice", replace("zone = south-a", "zone = south-a\nzone? = south-a"), "host.zone: key given twice"},
		{"optional key with a bad value", minimal + "[log]\nlevel? = loud\n", `log.level: "loud" is none of debug, info, warn, error`},
		{"unknown section with another key", minimal + "[extra]\na? = 1\nb = 2\n", "extra: unknown section"},
		{"key twice", replace("zone = south-a", "zone = south-a\nzone = south-a"), "host.zone: key given twice"},
		{"section twice", minimal + "[host]\n", "host: section given twice"},
		{"missing key", replace("zone = south-a\n", ""), "host.zone: missing key"},
		{"missing section", replace("[load]\nrate = 4\n", ""), "load.rate: missing key"},
		{"empty value", replace("south-a", ""), "host.zone: empty"},
		{"bad name", replace("entry-1", "Entry 1"), `host.name: "Entry 1" is not lower case letters, digits and hyphens`},
		{"bad address", replace("127.0.0.1:8001", "localhost:8001"), `listen.caller: "localhost:8001" is not IP:PORT`},
		{"port zero", replace("127.0.0.1:8002", "127.0.0.1:0"), `listen.peer: "127.0.0.1:0" is not IP:PORT`},
		{"address taken", replace("127.0.0.1:8003", "127.0.0.1:8001"), "listen.admin: the same as listen.caller"},
		{"bad platform", replace("http://127.0.0.1:9000", "https://platform"), `platform.address: "https://platform" is not http://IP:PORT`},
		{"bad seed", minimal + "[peers]\nseeds = a=127.0.0.1:1,x\n", `peers.seeds: "x" is not NAME=IP:PORT`},
		{"seed without a name", minimal + "[peers]\nseeds = 127.0.0.1:1\n", `peers.seeds: "127.0.0.1:1" is not NAME=IP:PORT`},
		{"seed without an address", minimal + "[peers]\nseeds = a=b\n", `peers.seeds: "a=b" is not NAME=IP:PORT`},
		{"bad seed name", minimal + "[peers]\nseeds = A=127.0.0.1:1\n", `peers.seeds: "A=127.0.0.1:1" is not NAME=IP:PORT`},
		{"seed twice", minimal + "[peers]\nseeds = a=127.0.0.1:1, a=127.0.0.1:2\n", `peers.seeds: a is given twice`},
		{"missing file", replace("key = host.key", "key = none.key"), "keys.key: DIR/none.key: no such file or directory"},
		{"not a key file", replace("key = host.key", "key = text"), "keys.key: DIR/text: not a PEM file"},
		{"a folder", replace("key = host.key", "key = ."), "keys.key: DIR: not a PEM file"},
		{"not a number", replace("rate = 4", "rate = four"), `load.rate: "four" is not a number`},
		{"number is NaN", replace("rate = 4", "rate = NaN"), "load.rate: NaN is out of range 0.01 to 10000"},
		{"out of range", minimal + "flight = 0\n", "load.flight: 0 is out of range 1 to 10000"},
		{"not a time", minimal + "[lease]\ntime = 10\n", `lease.time: "10" is not a time such as 500ms, 30s or 2m`},
		{"renewal interval too long", minimal + "[lease]\nrenewal = 4s\n", "lease.renewal: over a third of lease.time 10s"},
		{"no requests", minimal + "[limits]\nrequests = 0\n", "limits.requests: 0 is out of range 1 to 65536"},
		{"negative cross-region rate", minimal + "[limits]\nfar = -1\n", "limits.far: -1 is out of range 0 to 1073741824"},
		{"deadline too late", minimal + "[limits]\ndeadline = 3m\n", "limits.deadline: over limits.longest"},
		{"prompt over body", minimal + "[limits]\nbody = 1000\n", "limits.prompt: over limits.body"},
		{"no such policy", minimal + "[policy]\nkind = best\n", `policy.kind: "best" is none of homes, least, random`},
		{"weight over one", minimal + "[policy]\nweight = 1.1\n", "policy.weight: 1.1 is out of range 0 to 1"},
		{"no such level", minimal + "[log]\nlevel = loud\n", `log.level: "loud" is none of debug, info, warn, error`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			dir, file := writeFiles(t, c.text)
			_, err := settings.Read(file)
			require.EqualError(t, err, file+": "+strings.ReplaceAll(c.want, "DIR", dir))
		})
	}
}

// TestOptionalKeys guards against a host that ends at its start since its settings hold a key of a
// later build, as after a rollback.
func TestOptionalKeys(t *testing.T) {
	_, file := writeFiles(t, minimal+"burst? = 9\n[log]\nlevel? = debug\n[extra]\na? = 1\n")
	got, err := settings.Read(file)
	require.NoError(t, err)
	require.Equal(t, zapcore.DebugLevel, got.Log.Level)
	require.ElementsMatch(t, []string{"load.burst", "extra.a"}, got.Ignored)

	direct := "[host]\nname = a\nzone = z\nzones = z=r\nlater? = x\n[listen]\ncaller = 127.0.0.1:1\npeer = 127.0.0.1:2\nready = 127.0.0.1:3\n[platform]\naddress = 127.0.0.1:4\n"
	_, file = writeFiles(t, direct)
	d, err := settings.ReadDirect(file)
	require.NoError(t, err)
	require.Equal(t, []string{"host.later"}, d.Ignored)
}

func TestReadMissingFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "none.ini")
	_, err := settings.Read(file)
	require.EqualError(t, err, file+": no such file or directory")
}

// FuzzParse checks that Parse never panics and that its errors take a single line.
func FuzzParse(f *testing.F) {
	f.Add([]byte(minimal))
	f.Add([]byte("[host\nname"))
	f.Add([]byte("[host]\nname = \"\"\"a\nb\n"))
	f.Add([]byte("a:b:c\\\n[x.y]\n%(z)s = `"))
	dir, _ := writeFiles(f, minimal)
	f.Fuzz(func(t *testing.T, text []byte) {
		_, err := settings.Parse(filepath.Join(dir, "host.ini"), text)
		if err != nil {
			require.NotContains(t, err.Error(), "\n")
		}
	})
}
