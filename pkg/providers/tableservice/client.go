// Package tableservice is the network client of the transactional table
// service. It speaks the DynamoDB API through its published SDK and maps its
// failures to the typed errors of package table.
package tableservice

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	smithyendpoints "github.com/aws/smithy-go/endpoints"
	"github.com/juju/errors"

	"github.com/monsooncrank/monsooncrank/coordination/table"
	"github.com/monsooncrank/monsooncrank/pkg/providers/awsclient"
)

// The attributes of a row.
const (
	attributePartition = "pk"
	attributeSort      = "sk"
	attributeVersion   = "version"
	attributeValue     = "value"
)

// Options name the table and its service.
type Options struct {
	awsclient.Options
	Table string
}

// Client is a table.Store over the network.
type Client struct {
	api     *dynamodb.Client
	table   string
	timeout time.Duration
	http    *http.Transport
}

var _ table.Store = (*Client)(nil)

// fixedEndpoint resolves every request to the endpoint of the settings. The SDK's
// own resolver compiles its rules' regular expressions on each request, which
// took an eighth of an idle daemon's processor time.
type fixedEndpoint struct{ endpoint smithyendpoints.Endpoint }

// ResolveEndpoint implements dynamodb.EndpointResolverV2.
func (f fixedEndpoint) ResolveEndpoint(context.Context, dynamodb.EndpointParameters) (smithyendpoints.Endpoint, error) {
	return f.endpoint, nil
}

// newEndpoint returns the endpoint of a URL. One that cannot be parsed fails at
// the first request; the settings' check finds it before.
func newEndpoint(endpoint string) fixedEndpoint {
	parsed, err := url.Parse(endpoint)
	if err != nil {
		parsed = &url.URL{}
	}
	return fixedEndpoint{endpoint: smithyendpoints.Endpoint{URI: *parsed}}
}

// NewClient returns a Client. It opens no connection yet.
func NewClient(options Options) *Client {
	transport := options.NewTransport()
	return &Client{
		api: dynamodb.New(dynamodb.Options{
			Region:             options.Region,
			EndpointResolverV2: newEndpoint(options.Endpoint),
			Credentials:        options.Credentials(),
			HTTPClient:         &http.Client{Transport: transport},
			// A repeated transaction could apply twice after a lost answer.
			Retryer: aws.NopRetryer{},
		}),
		table:   options.Table,
		timeout: options.Timeout,
		http:    transport,
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements table.Store.
func (c *Client) Get(ctx context.Context, key table.Key) (table.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	out, err := c.api.GetItem(ctx, &dynamodb.GetItemInput{
		TableName:      aws.String(c.table),
		Key:            keyAttributes(key),
		ConsistentRead: aws.Bool(true),
	})
	if err != nil {
		return table.Item{}, &table.UnavailableError{Reason: err.Error()}
	}
	if len(out.Item) == 0 {
		return table.Item{}, &table.NotFoundError{Key: key}
	}
	return decode(out.Item)
}

// Query implements table.Store.
func (c *Client) Query(ctx context.Context, partition, after string, limit int) ([]table.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	input := &dynamodb.QueryInput{
		TableName:                 aws.String(c.table),
		KeyConditionExpression:    aws.String("pk = :pk"),
		ExpressionAttributeValues: map[string]types.AttributeValue{":pk": text(partition)},
		Limit:                     aws.Int32(int32(limit)),
		ConsistentRead:            aws.Bool(true),
	}
	if after != "" {
		input.KeyConditionExpression = aws.String("pk = :pk AND sk > :sk")
		input.ExpressionAttributeValues[":sk"] = text(after)
	}
	out, err := c.api.Query(ctx, input)
	if err != nil {
		return nil, &table.UnavailableError{Reason: err.Error()}
	}
	items := make([]table.Item, 0, len(out.Items))
	for _, attributes := range out.Items {
		item, err := decode(attributes)
		if err != nil {
			return nil, errors.Trace(err)
		}
		items = append(items, item)
	}
	return items, nil
}

// Transact implements table.Store.
func (c *Client) Transact(ctx context.Context, writes []table.Write) error {
	if err := table.Validate(writes); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	input := &dynamodb.TransactWriteItemsInput{TransactItems: make([]types.TransactWriteItem, 0, len(writes))}
	for _, w := range writes {
		input.TransactItems = append(input.TransactItems, c.transactItem(w))
	}
	_, err := c.api.TransactWriteItems(ctx, input)
	return transactError(err)
}

func (c *Client) transactItem(w table.Write) types.TransactWriteItem {
	expression, values := condition(w.Version)
	if w.Delete {
		return types.TransactWriteItem{Delete: &types.Delete{
			TableName:                 aws.String(c.table),
			Key:                       keyAttributes(w.Key),
			ConditionExpression:       expression,
			ExpressionAttributeValues: values,
		}}
	}
	item := keyAttributes(w.Key)
	item[attributeVersion] = number(w.Version + 1)
	item[attributeValue] = &types.AttributeValueMemberB{Value: w.Value}
	return types.TransactWriteItem{Put: &types.Put{
		TableName:                 aws.String(c.table),
		Item:                      item,
		ConditionExpression:       expression,
		ExpressionAttributeValues: values,
	}}
}

func condition(version uint64) (*string, map[string]types.AttributeValue) {
	if version == 0 {
		return aws.String("attribute_not_exists(pk)"), nil
	}
	return aws.String("version = :version"), map[string]types.AttributeValue{":version": number(version)}
}

// transactError maps a failure of a transaction. Only a failure that proves
// that nothing was applied may become an UnavailableError.
func transactError(err error) error {
	if err == nil {
		return nil
	}
	var cancelled *types.TransactionCanceledException
	if errors.As(err, &cancelled) {
		return cancelledError(cancelled)
	}
	if awsclient.NotApplied(err) {
		return &table.UnavailableError{Reason: err.Error()}
	}
	return &table.AmbiguousError{Reason: err.Error()}
}

func cancelledError(cancelled *types.TransactionCanceledException) error {
	var failed []int
	for i, reason := range cancelled.CancellationReasons {
		if aws.ToString(reason.Code) == "ConditionalCheckFailed" {
			failed = append(failed, i)
		}
	}
	if len(failed) == 0 {
		return &table.UnavailableError{Reason: cancelled.Error()}
	}
	return &table.ConditionFailedError{Indexes: failed}
}

// MalformedItemError reports a row without the expected attributes.
type MalformedItemError struct{ Attribute string }

func (e *MalformedItemError) Error() string {
	return "table row has no valid attribute " + e.Attribute
}

func decode(attributes map[string]types.AttributeValue) (table.Item, error) {
	partition, ok := attributes[attributePartition].(*types.AttributeValueMemberS)
	if !ok {
		return table.Item{}, &MalformedItemError{Attribute: attributePartition}
	}
	sortKey, ok := attributes[attributeSort].(*types.AttributeValueMemberS)
	if !ok {
		return table.Item{}, &MalformedItemError{Attribute: attributeSort}
	}
	version, ok := attributes[attributeVersion].(*types.AttributeValueMemberN)
	if !ok {
		return table.Item{}, &MalformedItemError{Attribute: attributeVersion}
	}
	parsed, err := strconv.ParseUint(version.Value, 10, 64)
	if err != nil {
		return table.Item{}, &MalformedItemError{Attribute: attributeVersion}
	}
	value, ok := attributes[attributeValue].(*types.AttributeValueMemberB)
	if !ok {
		return table.Item{}, &MalformedItemError{Attribute: attributeValue}
	}
	return table.Item{
		Key:     table.Key{Partition: partition.Value, Sort: sortKey.Value},
		Version: parsed,
		Value:   value.Value,
	}, nil
}

func keyAttributes(key table.Key) map[string]types.AttributeValue {
	return map[string]types.AttributeValue{
		attributePartition: text(key.Partition),
		attributeSort:      text(key.Sort),
	}
}

func text(s string) types.AttributeValue { return &types.AttributeValueMemberS{Value: s} }

func number(n uint64) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatUint(n, 10)}
}
