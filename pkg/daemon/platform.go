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

// hostListTimeout bounds one poll of the host list.
const hostListTimeout = 2 * time.Second

// platformClients are the clients of the platform's services.
type platformClients struct {
	table    table.Store
	objects  objectstore.Store
	hostList peer.HostLister
	// cloud is nil when hosts are not bought by the system.
	cloud  cloud.API
	closes []func()
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
		closes: []func(){rows.Close, objects.Close, hosts.Close},
	}
	if settings.CloudAPI != "" {
		api := cloud.NewClient(cloud.Options{BaseURL: settings.CloudAPI})
		clients.cloud = api
		clients.closes = append(clients.closes, api.Close)
	}
	return clients, nil
}

func (c *platformClients) close() {
	for _, closeClient := range c.closes {
		closeClient()
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
