// Package tableservice implements table.Store on the DynamoDB API through the
// AWS SDK and maps service errors to the error types of package table.
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

// Attributes of a table row.
const (
	attributePartition = "pk"
	attributeSort      = "sk"
	attributeVersion   = "version"
	attributeValue     = "value"
)

// Options are the settings of a Client.
type Options struct {
	awsclient.Options
	Table string
}

// Client is a table.Store that accesses a DynamoDB table over the network.
type Client struct {
	api     *dynamodb.Client
	table   string
	timeout time.Duration
	http    *http.Transport
}

var _ table.Store = (*Client)(nil)

// fixedEndpoint resolves every request to the configured endpoint. The SDK's
// default resolver compiles regular expressions on each request, which took an
// eighth of the CPU time of an idle daemon.
type fixedEndpoint struct{ endpoint smithyendpoints.Endpoint }

// ResolveEndpoint implements dynamodb.EndpointResolverV2.
func (f fixedEndpoint) ResolveEndpoint(context.Context, dynamodb.EndpointParameters) (smithyendpoints.Endpoint, error) {
	return f.endpoint, nil
}

// newEndpoint returns the resolver for a URL. An invalid URL fails at the first
// request; validation of the settings rejects it earlier.
func newEndpoint(endpoint string) fixedEndpoint {
	parsed, err := url.Parse(endpoint)
	if err != nil {
		parsed = &url.URL{}
	}
	return fixedEndpoint{endpoint: smithyendpoints.Endpoint{URI: *parsed}}
}

// NewClient returns a Client. It opens no connection.
func NewClient(options Options) *Client {
	transport := options.NewTransport()
	return &Client{
		api: dynamodb.New(dynamodb.Options{
			Region:             options.Region,
			EndpointResolverV2: newEndpoint(options.Endpoint),
			Credentials:        options.Credentials(),
			HTTPClient:         &http.Client{Transport: transport},
			// A retry after a lost response could apply a transaction twice.
			Retryer: aws.NopRetryer{},
		}),
		table:   options.Table,
		timeout: options.Timeout,
		http:    transport,
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Epoch implements table.Store. The service never returns from an older copy.
func (c *Client) Epoch() table.Epoch { return 0 }

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
	return decodeItem(out.Item)
}

// Query implements table.Store.
func (c *Client) Query(ctx context.Context, partition, after string, limit int) ([]table.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	input := &dynamodb.QueryInput{
		TableName:                 aws.String(c.table),
		KeyConditionExpression:    aws.String("pk = :pk"),
		ExpressionAttributeValues: map[string]types.AttributeValue{":pk": stringAttribute(partition)},
		Limit:                     aws.Int32(int32(limit)),
		ConsistentRead:            aws.Bool(true),
	}
	if after != "" {
		input.KeyConditionExpression = aws.String("pk = :pk AND sk > :sk")
		input.ExpressionAttributeValues[":sk"] = stringAttribute(after)
	}
	out, err := c.api.Query(ctx, input)
	if err != nil {
		return nil, &table.UnavailableError{Reason: err.Error()}
	}
	items := make([]table.Item, 0, len(out.Items))
	for _, attributes := range out.Items {
		item, err := decodeItem(attributes)
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

// transactItem converts a write to a conditional Put or Delete.
func (c *Client) transactItem(w table.Write) types.TransactWriteItem {
	expression, values := versionCondition(w.Version)
	if w.Delete {
		return types.TransactWriteItem{Delete: &types.Delete{
			TableName:                 aws.String(c.table),
			Key:                       keyAttributes(w.Key),
			ConditionExpression:       expression,
			ExpressionAttributeValues: values,
		}}
	}
	item := keyAttributes(w.Key)
	item[attributeVersion] = numberAttribute(uint64(w.Version) + 1)
	item[attributeValue] = &types.AttributeValueMemberB{Value: w.Value}
	return types.TransactWriteItem{Put: &types.Put{
		TableName:                 aws.String(c.table),
		Item:                      item,
		ConditionExpression:       expression,
		ExpressionAttributeValues: values,
	}}
}

// versionCondition returns the condition that the row has the given version,
// and its expression values. Version 0 requires that the row does not exist.
func versionCondition(version table.Version) (*string, map[string]types.AttributeValue) {
	if version == 0 {
		return aws.String("attribute_not_exists(pk)"), nil
	}
	return aws.String("version = :version"), map[string]types.AttributeValue{":version": numberAttribute(uint64(version))}
}

// transactError maps the error of a transaction. Only an error that proves that
// nothing was applied may become an UnavailableError.
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

// cancelledError maps a cancelled transaction, of which nothing was applied, to
// a ConditionFailedError with the writes whose conditions failed, or to an
// UnavailableError if it was cancelled for another reason.
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

// MalformedItemError reports a row in which an attribute is missing or invalid.
type MalformedItemError struct{ Attribute string }

func (e *MalformedItemError) Error() string {
	return "table row has no valid attribute " + e.Attribute
}

// decodeItem converts the attributes of a row to an Item.
func decodeItem(attributes map[string]types.AttributeValue) (table.Item, error) {
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
		Version: table.Version(parsed),
		Value:   value.Value,
	}, nil
}

func keyAttributes(key table.Key) map[string]types.AttributeValue {
	return map[string]types.AttributeValue{
		attributePartition: stringAttribute(key.Partition),
		attributeSort:      stringAttribute(key.Sort),
	}
}

func stringAttribute(s string) types.AttributeValue { return &types.AttributeValueMemberS{Value: s} }

func numberAttribute(n uint64) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatUint(n, 10)}
}
