package daemon

import (
	"time"

	"github.com/juju/errors"

	"github.com/monsooncrank/monsooncrank/coordination/table"
	"github.com/monsooncrank/monsooncrank/pkg/peer"
	"github.com/monsooncrank/monsooncrank/pkg/providers/awsclient"
	"github.com/monsooncrank/monsooncrank/pkg/providers/cloud"
	"github.com/monsooncrank/monsooncrank/pkg/providers/hostlist"
	"github.com/monsooncrank/monsooncrank/pkg/providers/objectstore"
	"github.com/monsooncrank/monsooncrank/pkg/providers/objectstore/s3store"
	"github.com/monsooncrank/monsooncrank/pkg/providers/tableservice"
)

// hostListTimeout is the timeout of one poll of the host list.
const hostListTimeout = 2 * time.Second

// platformClients holds the clients of the platform's services.
type platformClients struct {
	table    table.Store
	objects  objectstore.Store
	hostList peer.HostLister
	// cloud is nil if no cloud API is configured.
	cloud      cloud.API
	closeFuncs []func()
}

func newPlatformClients(settings *Platform) (*platformClients, error) {
	tableOptions, err := settings.Table.clientOptions()
	if err != nil {
		return nil, errors.Trace(err)
	}
	objectOptions, err := settings.Objects.clientOptions()
	if err != nil {
		return nil, errors.Trace(err)
	}
	rows := tableservice.NewClient(tableservice.Options{Options: tableOptions, Table: settings.Table.Name})
	objects := s3store.NewClient(s3store.Options{Options: objectOptions, Bucket: settings.Objects.Name})
	hosts := hostlist.NewClient(hostlist.Options{URL: settings.HostList, Timeout: hostListTimeout})
	clients := &platformClients{
		table: rows, objects: objects, hostList: hosts,
		closeFuncs: []func(){rows.Close, objects.Close, hosts.Close},
	}
	if settings.CloudAPI != "" {
		api := cloud.NewClient(cloud.Options{BaseURL: settings.CloudAPI})
		clients.cloud = api
		clients.closeFuncs = append(clients.closeFuncs, api.Close)
	}
	return clients, nil
}

func (c *platformClients) close() {
	for _, closeFunc := range c.closeFuncs {
		closeFunc()
	}
}

func (s *Service) clientOptions() (awsclient.Options, error) {
	secret, err := readSecret(s.SecretKeyFile)
	if err != nil {
		return awsclient.Options{}, errors.Trace(err)
	}
	return awsclient.Options{
		Endpoint:    s.Endpoint,
		Region:      s.Region,
		AccessKey:   s.AccessKey,
		SecretKey:   secret,
		Timeout:     seconds(s.TimeoutSeconds),
		Connections: s.Connections,
	}, nil
}
