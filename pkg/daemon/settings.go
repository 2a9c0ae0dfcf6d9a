// Package daemon assembles the components of the serving system into one
// process. It reads the settings, opens the listeners, reports readiness and
// shuts the process down gracefully.
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

// Listener configures a listening address and its TLS.
type Listener struct {
	// Address has the form ip:port.
	Address string `json:"address"`
	// TLS holds the paths of the certificate files. Without TLS the address must
	// be a loopback address, unless PlatformEndsTLS is set.
	TLS *tlsfiles.Files `json:"tls,omitempty"`
	// PlatformEndsTLS is set if the platform's load balancer terminates TLS in
	// front of this listener.
	PlatformEndsTLS bool `json:"platform_ends_tls,omitempty"`
}

// Service configures the client of a platform service that is accessed through
// its SDK.
type Service struct {
	Endpoint  string `json:"endpoint"`
	Region    string `json:"region"`
	Name      string `json:"name"`
	AccessKey string `json:"access_key"`
	// SecretKeyFile is the path of the file that holds the secret key. The key
	// itself is not part of the settings.
	SecretKeyFile string `json:"secret_key_file"`
	// TimeoutSeconds is the timeout of each request.
	TimeoutSeconds float64 `json:"timeout_seconds"`
	// Connections is the maximum number of connections.
	Connections int `json:"connections"`
}

// Platform configures access to the services of the cloud platform.
type Platform struct {
	Table    Service `json:"table"`
	Objects  Service `json:"objects"`
	HostList string  `json:"host_list_url"`
	// CloudAPI is the URL of the cloud API. It is empty if the system does not
	// buy Hosts.
	CloudAPI string `json:"cloud_api_url,omitempty"`
	// BuyHosts allows the daemons to buy and stop Hosts within the limits of the
	// Pools and to place models on engines.
	BuyHosts bool `json:"buy_hosts,omitempty"`
}

// Settings are the settings of one daemon, read from a file at startup.
type Settings struct {
	// Name is unique among the operator's daemons. It is part of request IDs.
	Name             string   `json:"name"`
	Operator         string   `json:"operator"`
	AvailabilityZone string   `json:"availability_zone"`
	Callers          Listener `json:"callers"`
	Operators        Listener `json:"operators"`
	Peers            Listener `json:"peers"`
	// PeerAddresses are the addresses of daemons to contact at startup. Further
	// daemons are discovered through them.
	PeerAddresses []string `json:"peer_addresses,omitempty"`
	// OperatorTokenFile is the path of the file that holds the token with which
	// operators authenticate. The token itself is not part of the settings.
	OperatorTokenFile string   `json:"operator_token_file"`
	Platform          Platform `json:"platform"`
	// DrainSeconds is how long requests in progress may continue after SIGTERM
	// before they are handed over to a peer.
	DrainSeconds float64 `json:"drain_seconds"`
	// BalancerSeconds is the time the platform's load balancer needs to stop
	// sending new callers to a daemon that is not ready. It counts towards
	// DrainSeconds.
	BalancerSeconds float64 `json:"balancer_seconds"`
	LogVerbosity    int     `json:"log_verbosity,omitempty"`
	// MemoryMiB is the memory of this process in MiB; 0 stands for GOMEMLIMIT or, without that, for
	// the memory of the host.
	MemoryMiB int `json:"memory_mib,omitempty"`
}

// DrainTimeout returns the time limit of a drain.
func (s *Settings) DrainTimeout() time.Duration { return seconds(s.DrainSeconds) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// SettingsError lists all problems found in a settings file.
type SettingsError struct {
	File     string
	Problems []string
}

func (e *SettingsError) Error() string {
	return fmt.Sprintf("settings %s: %s", e.File, strings.Join(e.Problems, "; "))
}

// LoadSettings reads and validates a settings file in JSON with comments.
func LoadSettings(file string) (*Settings, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return ParseSettings(file, raw)
}

// ParseSettings parses and validates the settings in raw. The file name is used
// in error messages only.
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
	if problems := s.validate(); len(problems) > 0 {
		return nil, &SettingsError{File: file, Problems: problems}
	}
	return &s, nil
}

// settingsValidator collects the problems found while settings are validated.
type settingsValidator struct{ problems []string }

func (c *settingsValidator) require(ok bool, format string, args ...any) {
	if !ok {
		c.problems = append(c.problems, fmt.Sprintf(format, args...))
	}
}

// validate returns all problems of the settings.
func (s *Settings) validate() []string {
	c := &settingsValidator{}
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
	c.require(s.MemoryMiB >= 0, "memory_mib must be at least 0")
	c.require(s.LogVerbosity >= 0 && s.LogVerbosity <= 9, "log_verbosity must be from 0 to 9")
	return c.problems
}

func (c *settingsValidator) address(name, address string) {
	host, port, err := net.SplitHostPort(address)
	c.require(err == nil && net.ParseIP(host) != nil && port != "", "%s: %q is not ip:port", name, address)
}

func (c *settingsValidator) listener(name string, l *Listener) {
	c.address(name, l.Address)
	if l.TLS != nil {
		c.require(l.TLS.Certificate != "" && l.TLS.Key != "", "%s.tls needs a certificate and a key", name)
		c.require(name != "peers" || l.TLS.ClientCA != "", "peers.tls needs client_ca, because daemons authenticate each other with certificates")
		return
	}
	host, _, _ := net.SplitHostPort(l.Address)
	ip := net.ParseIP(host)
	c.require(l.PlatformEndsTLS || (ip != nil && ip.IsLoopback()),
		"%s: %q is not on loopback, so it needs tls or platform_ends_tls", name, l.Address)
}

func (c *settingsValidator) service(name string, s *Service) {
	c.url(name+".endpoint", s.Endpoint)
	c.require(s.Region != "", "%s.region is missing", name)
	c.require(s.Name != "", "%s.name is missing", name)
	c.require(s.AccessKey != "" && s.SecretKeyFile != "", "%s.access_key or %s.secret_key_file is missing", name, name)
	c.require(s.TimeoutSeconds > 0, "%s.timeout_seconds must be above 0", name)
	c.require(s.Connections > 0, "%s.connections must be above 0", name)
}

func (c *settingsValidator) url(name, value string) {
	parsed, err := url.Parse(value)
	c.require(err == nil && parsed.Host != "" && (parsed.Scheme == "http" || parsed.Scheme == "https"),
		"%s: %q is not an http or https URL", name, value)
}

// EmptySecretError is returned if a secret file is empty or blank.
type EmptySecretError struct{ File string }

func (e *EmptySecretError) Error() string { return "no secret in file " + e.File }

// readSecret reads a secret from a file and trims surrounding white space.
func readSecret(file string) (string, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return "", errors.Annotate(err, "cannot read secret")
	}
	secret := strings.TrimSpace(string(raw))
	if secret == "" {
		return "", &EmptySecretError{File: file}
	}
	return secret, nil
}
