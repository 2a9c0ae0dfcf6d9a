package deferred

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/monsooncrank/monsooncrank/coordination/table"
	"github.com/monsooncrank/monsooncrank/pkg/api"
)

// Prefixes of the sort keys of open requests and of answered ones. They differ so
// that the scan for requests to run does not read retained answers.
const (
	openPrefix = "open/"
	donePrefix = "done/"
)

// Sort keys after which a query of open requests and one of answers start.
const (
	openScanStart = openPrefix
	doneScanStart = donePrefix
)

// record is the value of a request's row in the table.
type record struct {
	ClientAccount string `json:"client_account"`
	RequestID     string `json:"request_id"`
	// AcceptID identifies the call of Accept that wrote the row.
	AcceptID   string    `json:"accept_id"`
	AcceptedAt time.Time `json:"accepted_at"`
	// BodyKey, PartialKey and AnswerKey are the keys of the request body, the
	// partial answer and the final answer in the object store.
	BodyKey    string `json:"body_key"`
	PartialKey string `json:"partial_key,omitempty"`
	AnswerKey  string `json:"answer_key,omitempty"`
	// SavedTokens is the number of tokens in the saved partial answer.
	SavedTokens int `json:"saved_tokens,omitempty"`
	// FencingNumber is the fencing number of the lease holder that runs the
	// request.
	FencingNumber uint64       `json:"number,omitempty"`
	Problem       *api.Problem `json:"problem,omitempty"`
	ExpiresAt     time.Time    `json:"expires_at,omitzero"`
}

// answerBody is the content of the object that holds a partial or final answer.
type answerBody struct {
	Tokens       []string `json:"tokens"`
	FinishReason string   `json:"finish_reason,omitempty"`
}

// RangeOf returns the lease range of a request.
func RangeOf(account, requestID string) int {
	return int(xxhash.Sum64String(account+"\x00"+requestID) % RangeCount)
}

func partition(r int) string { return fmt.Sprintf("deferred/%02d", r) }

// rowName joins the account and the ID of a request. It starts with the length of
// the account, so that no two requests have the same name.
func rowName(account, requestID string) string {
	return fmt.Sprintf("%d/%s/%s", len(account), account, requestID)
}

func openKey(account, requestID string) table.Key {
	return table.Key{Partition: partition(RangeOf(account, requestID)), Sort: openPrefix + rowName(account, requestID)}
}

func doneKey(account, requestID string) table.Key {
	return table.Key{Partition: partition(RangeOf(account, requestID)), Sort: donePrefix + rowName(account, requestID)}
}

func objectKey(account, requestID, name string) string {
	return partition(RangeOf(account, requestID)) + "/" + rowName(account, requestID) + "/" + name
}

func isOpen(key table.Key) bool { return strings.HasPrefix(key.Sort, openPrefix) }

func isDone(key table.Key) bool { return strings.HasPrefix(key.Sort, donePrefix) }

func (r *record) encode() ([]byte, error) { return json.Marshal(r) }

func decodeRecord(item table.Item) (record, error) {
	var r record
	if err := json.Unmarshal(item.Value, &r); err != nil {
		return r, &MalformedRowError{Key: item.Key, Cause: err}
	}
	return r, nil
}
