// Package settings reads and checks the INI file of an entry host. Everything
// that is wrong is reported at once, each with file, section, key, value and
// what is allowed.
//
// # Usage
//
//	s, err := settings.Load("host.ini")
//	if errors.Is(err, settings.ErrInvalid) {
//		fmt.Fprintln(os.Stderr, err)
//		os.Exit(2)
//	}
package settings

import (
	"net"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"

	"github.com/cowslipgap/cowslipgap/record"
)

// ErrInvalid says that the settings cannot be used.
var ErrInvalid = errors.New("settings: invalid")

// Settings is what an entry host is told at its start.
type Settings struct {
	Name string // of this entry host
	Zone string // its availability zone

	HTTPAddr string // for callers and operators
	PeerAddr string // for other entry hosts
	// PeerAdvertise is the address at which other entry hosts reach PeerAddr, if
	// it is another one.
	PeerAdvertise string

	PlatformURL     string
	PlatformTimeout time.Duration

	OperatorKey string // the operators' secret, from a file
	PeerKey     string // the secret between entry hosts, from a file

	MaxBodyBytes    int64
	MaxQueued       int // tasks waiting for a team
	MaxDeadline     time.Duration
	DefaultDeadline time.Duration
	DrainTimeout    time.Duration

	Heartbeat       time.Duration
	Lease           time.Duration
	TaskLease       time.Duration
	ClockMargin     time.Duration
	SoloLimit       time.Duration
	WritesPerSecond int // of the table, for the whole fleet

	LogLevel string
}

// field is one key of the file.
type field struct {
	section, key string
	fallback     string // empty if the key is required or optional
	optional     bool   // stays empty if it is left out
	allowed      string // for messages
	set          func(s *Settings, value string) bool
	get          func(s *Settings) string
}

var fields = []field{
	name("host", "name", func(s *Settings) *string { return &s.Name }),
	name("host", "zone", func(s *Settings) *string { return &s.Zone }),
	addr("host", "httpAddr", func(s *Settings) *string { return &s.HTTPAddr }),
	addr("host", "peerAddr", func(s *Settings) *string { return &s.PeerAddr }),
	optional(addr("host", "peerAdvertise", func(s *Settings) *string { return &s.PeerAdvertise })),
	{
		section: "platform", key: "url", allowed: "an http or https URL",
		set: func(s *Settings, v string) bool { s.PlatformURL = strings.TrimRight(v, "/"); return validURL(v) },
		get: func(s *Settings) string { return s.PlatformURL },
	},
	millis("platform", "timeoutMillis", 2000, 50, 60_000, func(s *Settings) *time.Duration { return &s.PlatformTimeout }),
	secret("keys", "operatorKeyFile", func(s *Settings) *string { return &s.OperatorKey }),
	secret("keys", "peerKeyFile", func(s *Settings) *string { return &s.PeerKey }),
	number("bounds", "maxBodyBytes", 1<<20, 1<<10, 64<<20, func(s *Settings, n int64) { s.MaxBodyBytes = n }, func(s *Settings) int64 { return s.MaxBodyBytes }),
	number("bounds", "maxQueuedPerTeam", 20_000, 1, 10_000_000, func(s *Settings, n int64) { s.MaxQueued = int(n) }, func(s *Settings) int64 { return int64(s.MaxQueued) }),
	millis("bounds", "maxDeadlineMillis", 600_000, 10, 86_400_000, func(s *Settings) *time.Duration { return &s.MaxDeadline }),
	millis("bounds", "defaultDeadlineMillis", 60_000, 10, 86_400_000, func(s *Settings) *time.Duration { return &s.DefaultDeadline }),
	millis("bounds", "drainTimeoutMillis", 60_000, 0, 3_600_000, func(s *Settings) *time.Duration { return &s.DrainTimeout }),
	millis("lease", "heartbeatMillis", 1000, 50, 60_000, func(s *Settings) *time.Duration { return &s.Heartbeat }),
	millis("lease", "hostLeaseMillis", 5000, 200, 300_000, func(s *Settings) *time.Duration { return &s.Lease }),
	millis("lease", "taskLeaseMillis", 6000, 200, 300_000, func(s *Settings) *time.Duration { return &s.TaskLease }),
	millis("lease", "clockMarginMillis", 500, 1, 60_000, func(s *Settings) *time.Duration { return &s.ClockMargin }),
	millis("lease", "soloLimitMillis", 600_000, 1000, 86_400_000, func(s *Settings) *time.Duration { return &s.SoloLimit }),
	number("lease", "writesPerSecond", 200, 1, 1_000_000, func(s *Settings, n int64) { s.WritesPerSecond = int(n) }, func(s *Settings) int64 { return int64(s.WritesPerSecond) }),
	{
		section: "log", key: "level", fallback: "info", allowed: "debug, info, warn or error",
		set: func(s *Settings, v string) bool {
			s.LogLevel = v
			return v == "debug" || v == "info" || v == "warn" || v == "error"
		},
		get: func(s *Settings) string { return s.LogLevel },
	},
}

func name(section, key string, at func(*Settings) *string) field {
	return field{
		section: section, key: key, allowed: "1 to 63 lower-case letters, digits and hyphens",
		set: func(s *Settings, v string) bool { *at(s) = v; return record.ValidName(v) },
		get: func(s *Settings) string { return *at(s) },
	}
}

func optional(f field) field {
	f.optional = true
	return f
}

func addr(section, key string, at func(*Settings) *string) field {
	return field{
		section: section, key: key, allowed: "an IP number and a port, as in 127.0.0.1:8080",
		set: func(s *Settings, v string) bool { *at(s) = v; return validAddr(v) },
		get: func(s *Settings) string { return *at(s) },
	}
}

func secret(section, key string, at func(*Settings) *string) field {
	return field{
		section: section, key: key, allowed: "a readable file with a secret of at least 16 bytes",
		set: func(s *Settings, path string) bool {
			data, err := os.ReadFile(path)
			*at(s) = strings.TrimSpace(string(data))
			return err == nil && len(*at(s)) >= 16
		},
		get: func(*Settings) string { return "(secret)" },
	}
}

func millis(section, key string, fallback, low, high int64, at func(*Settings) *time.Duration) field {
	return number(section, key, fallback, low, high,
		func(s *Settings, n int64) { *at(s) = time.Duration(n) * time.Millisecond },
		func(s *Settings) int64 { return at(s).Milliseconds() })
}

func number(section, key string, fallback, low, high int64, set func(*Settings, int64), get func(*Settings) int64) field {
	return field{
		section: section, key: key, fallback: strconv.FormatInt(fallback, 10),
		allowed: "a whole number from " + strconv.FormatInt(low, 10) + " to " + strconv.FormatInt(high, 10),
		set: func(s *Settings, v string) bool {
			n, err := strconv.ParseInt(v, 10, 64)
			set(s, n)
			return err == nil && n >= low && n <= high
		},
		get: func(s *Settings) string { return strconv.FormatInt(get(s), 10) },
	}
}

func validURL(v string) bool {
	u, err := url.Parse(v)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}

func validAddr(v string) bool {
	host, port, err := net.SplitHostPort(v)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n <= 65535
}

// Load reads the file at path.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Mark(errors.Wrapf(err, "read settings %s", path), ErrInvalid)
	}
	return Parse(path, data)
}

// Parse reads settings from data; path is for messages.
func Parse(path string, data []byte) (Settings, error) {
	file, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true}, data)
	if err != nil {
		return Settings{}, errors.Mark(errors.Wrapf(err, "parse settings %s", path), ErrInvalid)
	}
	problems := findUnknown(path, file)
	var s Settings
	for _, f := range fields {
		if p := f.read(&s, path, file); p != "" {
			problems = append(problems, p)
		}
	}
	if len(problems) == 0 {
		problems = s.checkTogether(path)
	}
	if len(problems) > 0 {
		return Settings{}, errors.Mark(errors.Newf("%s", strings.Join(problems, "\n")), ErrInvalid)
	}
	return s, nil
}

// read sets one field from the file and returns what is wrong with it.
func (f field) read(s *Settings, path string, file *ini.File) string {
	where := path + ": [" + f.section + "] " + f.key
	if !file.HasSection(f.section) || !file.Section(f.section).HasKey(f.key) {
		if f.optional {
			return ""
		}
		if f.fallback == "" {
			return where + " is missing; it must be " + f.allowed
		}
		f.set(s, f.fallback)
		return ""
	}
	k := file.Section(f.section).Key(f.key)
	if len(k.ValueWithShadows()) > 1 {
		return where + " is given more than once"
	}
	if !f.set(s, k.String()) {
		return where + " = " + strconv.Quote(k.String()) + " is not allowed; it must be " + f.allowed
	}
	return ""
}

// findUnknown reports sections and keys that do not exist.
func findUnknown(path string, file *ini.File) []string {
	known := map[string]bool{}
	var names []string
	for _, f := range fields {
		known[f.section] = true
		known[f.section+"."+f.key] = true
	}
	var problems []string
	for _, section := range file.Sections() {
		if section.Name() != ini.DefaultSection && !known[section.Name()] {
			problems = append(problems, path+": section ["+section.Name()+"] does not exist; use host, platform, keys, bounds, lease or log")
			continue
		}
		for _, k := range section.Keys() {
			if known[section.Name()+"."+k.Name()] {
				continue
			}
			names = names[:0]
			for _, f := range fields {
				if f.section == section.Name() {
					names = append(names, f.key)
				}
			}
			problems = append(problems, path+": ["+section.Name()+"] "+k.Name()+" = "+strconv.Quote(k.String())+" does not exist; use one of "+strings.Join(names, ", "))
		}
	}
	return problems
}

// checkTogether reports values that are right alone and wrong together.
func (s Settings) checkTogether(path string) []string {
	var problems []string
	if s.Lease < 3*s.Heartbeat {
		problems = append(problems, path+": [lease] hostLeaseMillis must be at least three times heartbeatMillis")
	}
	if s.DefaultDeadline > s.MaxDeadline {
		problems = append(problems, path+": [bounds] defaultDeadlineMillis must be at most maxDeadlineMillis")
	}
	return problems
}

// String shows the settings in force as an INI file, without secrets.
func (s Settings) String() string {
	var b strings.Builder
	section := ""
	for _, f := range fields {
		if f.section != section {
			if section != "" {
				b.WriteByte('\n')
			}
			section = f.section
			b.WriteString("[" + section + "]\n")
		}
		b.WriteString(f.key + " = " + f.get(&s) + "\n")
	}
	return b.String()
}

// Default returns settings with every default filled in and nothing else.
func Default() Settings {
	var s Settings
	for _, f := range fields {
		if f.fallback != "" {
			f.set(&s, f.fallback)
		}
	}
	return s
}
