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

// Open requests and answers have different sort keys, so that a look for work
// does not read the answers that are kept.
const (
	openPrefix = "open/"
	donePrefix = "done/"
)

// openAfter and doneAfter start a query of open requests and of answers.
const (
	openAfter = openPrefix
	doneAfter = donePrefix
)

// record is the row of a request.
type record struct {
	ClientAccount string `json:"client_account"`
	RequestID     string `json:"request_id"`
	// AcceptID tells the row of one Accept from that of another.
	AcceptID   string    `json:"accept_id"`
	AcceptedAt time.Time `json:"accepted_at"`
	// BodyKey, PartialKey and AnswerKey name objects.
	BodyKey    string `json:"body_key"`
	PartialKey string `json:"partial_key,omitempty"`
	AnswerKey  string `json:"answer_key,omitempty"`
	// SavedTokens is the length of the saved partial answer.
	SavedTokens int `json:"saved_tokens,omitempty"`
	// Number is the fencing number of the holder that runs the request.
	FencingNumber uint64       `json:"number,omitempty"`
	Problem       *api.Problem `json:"problem,omitempty"`
	ExpiresAt     time.Time    `json:"expires_at,omitzero"`
}

// answerBody is the object of a partial or final answer.
type answerBody struct {
	Tokens       []string `json:"tokens"`
	FinishReason string   `json:"finish_reason,omitempty"`
}

// RangeOf returns the lease range of a request.
func RangeOf(account, requestID string) int {
	return int(xxhash.Sum64String(account+"\x00"+requestID) % RangeCount)
}

func partition(r int) string { return fmt.Sprintf("deferred/%02d", r) }

// rowName joins the account and the ID of a request. The length keeps two
// different pairs from sharing a name.
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
