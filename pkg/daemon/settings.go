// Package daemon wires the duties into one process: settings, listeners,
// health, and an orderly stop.
package daemon

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/tailscale/hujson"

	"github.com/monsooncrank/monsooncrank/pkg/tlsfiles"
)

// Listener is an address to listen on.
type Listener struct {
	// Address is ip:port.
	Address string `json:"address"`
	// TLS names the certificate files; without them the listener must be on
	// loopback, unless PlatformEndsTLS is set.
	TLS *tlsfiles.Files `json:"tls,omitempty"`
	// PlatformEndsTLS says that the platform's balancer ends TLS before this
	// listener.
	PlatformEndsTLS bool `json:"platform_ends_tls,omitempty"`
}

// Service is a platform service spoken to through its SDK.
type Service struct {
	Endpoint  string `json:"endpoint"`
	Region    string `json:"region"`
	Name      string `json:"name"`
	AccessKey string `json:"access_key"`
	// SecretKeyFile holds the secret key, which is kept out of the settings.
	SecretKeyFile string `json:"secret_key_file"`
	// TimeoutSeconds bounds each request.
	TimeoutSeconds float64 `json:"timeout_seconds"`
	Connections    int     `json:"connections"`
}

// Platform names the platform's services.
type Platform struct {
	Table    Service `json:"table"`
	Objects  Service `json:"objects"`
	HostList string  `json:"host_list_url"`
	// CloudAPI is empty when hosts are not bought by the system.
	CloudAPI string `json:"cloud_api_url,omitempty"`
	// BuyHosts lets the daemons buy and stop Hosts within the Pools' limits and
	// place models on engines.
	BuyHosts bool `json:"buy_hosts,omitempty"`
}

// Settings are what a daemon learns at its start.
type Settings struct {
	// Name is unique among the daemons of the operator.
	Name             string   `json:"name"`
	Operator         string   `json:"operator"`
	AvailabilityZone string   `json:"availability_zone"`
	Callers          Listener `json:"callers"`
	Operators        Listener `json:"operators"`
	Peers            Listener `json:"peers"`
	// PeerAddresses are daemons to contact first; others are learned.
	PeerAddresses []string `json:"peer_addresses,omitempty"`
	// OperatorTokenFile holds the operators' token, which is kept out of the
	// settings.
	OperatorTokenFile string   `json:"operator_token_file"`
	Platform          Platform `json:"platform"`
	// DrainSeconds bounds how long requests in progress may take after SIGTERM
	// before they are handed to a peer.
	DrainSeconds float64 `json:"drain_seconds"`
	// BalancerSeconds is how long the platform's balancer takes to send no new
	// callers to a daemon that is not ready; it is part of the drain.
	BalancerSeconds float64 `json:"balancer_seconds"`
	LogVerbosity    int     `json:"log_verbosity,omitempty"`
}

// Drain returns the bound of a planned stop.
func (s *Settings) DrainTimeout() time.Duration { return seconds(s.DrainSeconds) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// SettingsError reports everything that is wrong with a settings file.
type SettingsError struct {
	File     string
	Problems []string
}

func (e *SettingsError) Error() string {
	return fmt.Sprintf("settings %s: %s", e.File, strings.Join(e.Problems, "; "))
}

// LoadSettings reads and checks a settings file in JSON with comments.
func LoadSettings(file string) (*Settings, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return ParseSettings(file, raw)
}

// ParseSettings checks the settings in raw; file names them in errors.
func ParseSettings(file string, raw []byte) (*Settings, error) {
	standard, err := hujson.Standardize(raw)
	if err != nil {
		return nil, &SettingsError{File: file, Problems: []string{err.Error()}}
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	var s Settings
	if err := decoder.Decode(&s); err != nil {
		return nil, &SettingsError{File: file, Problems: []string{err.Error()}}
	}
	if problems := s.check(); len(problems) > 0 {
		return nil, &SettingsError{File: file, Problems: problems}
	}
	return &s, nil
}

// settingsCheck gathers problems.
type settingsCheck struct{ problems []string }

func (c *settingsCheck) require(ok bool, format string, args ...any) {
	if !ok {
		c.problems = append(c.problems, fmt.Sprintf(format, args...))
	}
}

// check returns every problem of the settings.
func (s *Settings) check() []string {
	c := &settingsCheck{}
	c.require(s.Name != "" && !strings.Contains(s.Name, requestIDSeparator),
		"name is missing or contains %q", requestIDSeparator)
	c.require(s.Operator != "", "operator is missing")
	c.require(s.AvailabilityZone != "", "availability_zone is missing")
	c.listener("callers", &s.Callers)
	c.listener("operators", &s.Operators)
	c.listener("peers", &s.Peers)
	for _, address := range s.PeerAddresses {
		c.address("peer_addresses", address)
	}
	c.require(s.OperatorTokenFile != "", "operator_token_file is missing")
	c.service("platform.table", &s.Platform.Table)
	c.service("platform.objects", &s.Platform.Objects)
	c.url("platform.host_list_url", s.Platform.HostList)
	if s.Platform.CloudAPI != "" {
		c.url("platform.cloud_api_url", s.Platform.CloudAPI)
	}
	c.require(!s.Platform.BuyHosts || s.Platform.CloudAPI != "", "platform.buy_hosts needs platform.cloud_api_url")
	c.require(s.DrainSeconds > 0, "drain_seconds must be above 0")
	c.require(s.BalancerSeconds >= 0 && s.BalancerSeconds < s.DrainSeconds,
		"balancer_seconds must be at least 0 and below drain_seconds")
	c.require(s.LogVerbosity >= 0 && s.LogVerbosity <= 9, "log_verbosity must be from 0 to 9")
	return c.problems
}

func (c *settingsCheck) address(name, address string) {
	host, port, err := net.SplitHostPort(address)
	c.require(err == nil && net.ParseIP(host) != nil && port != "", "%s: %q is not ip:port", name, address)
}

func (c *settingsCheck) listener(name string, l *Listener) {
	c.address(name, l.Address)
	if l.TLS != nil {
		c.require(l.TLS.Certificate != "" && l.TLS.Key != "", "%s.tls needs a certificate and a key", name)
		c.require(name != "peers" || l.TLS.ClientCA != "", "peers.tls needs client_ca: daemons verify one another")
		return
	}
	host, _, _ := net.SplitHostPort(l.Address)
	ip := net.ParseIP(host)
	c.require(l.PlatformEndsTLS || (ip != nil && ip.IsLoopback()),
		"%s: %q is not on loopback, so it needs tls or platform_ends_tls", name, l.Address)
}

func (c *settingsCheck) service(name string, s *Service) {
	c.url(name+".endpoint", s.Endpoint)
	c.require(s.Region != "", "%s.region is missing", name)
	c.require(s.Name != "", "%s.name is missing", name)
	c.require(s.AccessKey != "" && s.SecretKeyFile != "", "%s.access_key or %s.secret_key_file is missing", name, name)
	c.require(s.TimeoutSeconds > 0, "%s.timeout_seconds must be above 0", name)
	c.require(s.Connections > 0, "%s.connections must be above 0", name)
}

func (c *settingsCheck) url(name, value string) {
	parsed, err := url.Parse(value)
	c.require(err == nil && parsed.Host != "" && (parsed.Scheme == "http" || parsed.Scheme == "https"),
		"%s: %q is not an http or https URL", name, value)
}

// EmptySecretError reports a secret file without a secret.
type EmptySecretError struct{ File string }

func (e *EmptySecretError) Error() string { return "no secret in " + e.File }

// readSecret reads a file that holds one secret.
func readSecret(file string) (string, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return "", errors.Annotate(err, "read secret")
	}
	secret := strings.TrimSpace(string(raw))
	if secret == "" {
		return "", &EmptySecretError{File: file}
	}
	return secret, nil
}
