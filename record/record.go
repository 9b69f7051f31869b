// Package record defines the records with which operators configure the system:
// teams, keys, shares, limits, queues and the draining of hosts.
//
// A record has a schema version and a revision. It may exist under several schema
// versions at once, each in a row of its own: a host uses the newest schema that
// it knows and leaves newer ones unchanged.
//
// # Usage
//
//	r := record.Record{Kind: record.KindShare, Name: "workshop", Schema: 1, Data: data}
//	if err := r.Validate(); err != nil {
//		return err
//	}
//	weight, err := r.Weight()
package record

import (
	"encoding/json"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipgap/cowslipgap/document"
	"github.com/cowslipgap/cowslipgap/key"
)

// Kinds of records.
const (
	KindTeam  = "team"
	KindKey   = "key"
	KindShare = "share"
	KindLimit = "limit"
	KindQueue = "queue"
	KindHost  = "host"
)

// newestSchema is the newest schema version that this build knows, by kind.
var newestSchema = map[string]int{
	KindTeam: 1, KindKey: 1, KindShare: 2, KindLimit: 2, KindQueue: 1, KindHost: 1,
}

const (
	maxWeight    = 1e6
	maxLimit     = 10_000_000 // tasks
	maxDataBytes = 64 << 10
	rowKeyPrefix = "shared/record/"
)

var (
	// ErrInvalid means that a record or its ID is malformed or has a value that is
	// not allowed.
	ErrInvalid = errors.New("record: invalid")
	// ErrUnknownSchema means that this build does not know the schema version
	// of a record.
	ErrUnknownSchema = errors.New("record: unknown schema version")

	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
)

// Record is one version of a record under one schema.
type Record struct {
	Kind      string          `json:"kind"`
	Name      string          `json:"name"`
	Schema    int             `json:"schema"`
	Revision  uint64          `json:"revision"` // counts the writes of this record under this schema
	Withdrawn bool            `json:"withdrawn,omitempty"`
	Data      json.RawMessage `json:"data,omitempty"`
	By        string          `json:"by,omitempty"`
	At        time.Time       `json:"at,omitzero"`
	WriteID   string          `json:"writeId,omitempty"` // unique for each write; shows a writer whether its write took effect
}

// Team is the data of a team record.
type Team struct {
	Title string `json:"title,omitempty"`
}

// Queue is the data of a queue record. Work for an open queue needs no key and
// is accounted to the queue's team.
type Queue struct {
	Team string `json:"team"`
	Open bool   `json:"open,omitempty"`
}

// Host is the data of a host record.
type Host struct {
	Drain bool `json:"drain"`
}

// Prefix returns the prefix of the row keys of a kind of records, or of all
// records if kind is empty.
func Prefix(kind string) string {
	if kind == "" {
		return rowKeyPrefix
	}
	return rowKeyPrefix + kind + "/"
}

// ID returns the kind and name of the record, which are the same under all its
// schemas.
func (r Record) ID() string { return r.Kind + "/" + r.Name }

// RowKey returns the key of the record in the table.
func (r Record) RowKey() string { return rowKeyPrefix + r.ID() + "/" + strconv.Itoa(r.Schema) }

// Known reports whether this build knows the record's schema version.
func (r Record) Known() bool { return r.Schema >= 1 && r.Schema <= newestSchema[r.Kind] }

// NewestSchema returns the newest schema version that this build knows for a
// kind, or 0 if the kind does not exist.
func NewestSchema(kind string) int { return newestSchema[kind] }

// ValidName reports whether a name may be used for a record, team or host.
func ValidName(name string) bool { return namePattern.MatchString(name) }

// Decode decodes a record from a table row or a request.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := document.Decode(data, &r); err != nil {
		return Record{}, invalidError(err, "record")
	}
	return r, nil
}

// Validate checks a record that an operator wants to write.
func (r Record) Validate() error {
	newest, ok := newestSchema[r.Kind]
	if !ok {
		return invalidError(nil, "kind %q does not exist; use team, key, share, limit, queue or host", r.Kind)
	}
	if !ValidName(r.Name) {
		return invalidError(nil, "name %q must be 1 to 63 lower-case letters, digits and hyphens, and must not start with a hyphen", r.Name)
	}
	if r.Schema < 1 || r.Schema > newest {
		return errors.Mark(errors.Newf("%s has schema version %d; this host knows 1 to %d", r.ID(), r.Schema, newest), ErrUnknownSchema)
	}
	if len(r.Data) > maxDataBytes {
		return invalidError(nil, "%s has %d bytes of data; at most %d are allowed", r.ID(), len(r.Data), maxDataBytes)
	}
	return r.validateData()
}

func (r Record) validateData() error {
	var err error
	switch r.Kind {
	case KindTeam:
		var t Team
		err = r.decode(&t)
	case KindKey:
		_, err = r.Key()
	case KindShare:
		_, err = r.Weight()
	case KindLimit:
		_, err = r.Limit()
	case KindQueue:
		_, err = r.Queue()
	case KindHost:
		_, err = r.Host()
	}
	return err
}

// Weight returns the weight of a share record.
func (r Record) Weight() (float64, error) {
	weight := 0.0
	switch r.Schema {
	case 1:
		var data struct {
			Weight int64 `json:"weight"`
		}
		if err := r.decode(&data); err != nil {
			return 0, err
		}
		weight = float64(data.Weight)
	case 2:
		var data struct {
			Weight float64 `json:"weight"`
		}
		if err := r.decode(&data); err != nil {
			return 0, err
		}
		weight = data.Weight
	default:
		return 0, r.unknownSchema()
	}
	if !(weight > 0 && weight <= maxWeight) {
		return 0, invalidError(nil, "%s: weight %v must be above 0 and at most %v", r.ID(), weight, maxWeight)
	}
	return weight, nil
}

// Limit returns the limit of a limit record: how many tasks of the team may run at
// once on all workers together.
func (r Record) Limit() (int, error) {
	limit := int64(0)
	switch r.Schema {
	case 1:
		var data struct {
			Tasks int64 `json:"tasks"`
		}
		if err := r.decode(&data); err != nil {
			return 0, err
		}
		limit = data.Tasks
	case 2:
		var data struct {
			Running struct {
				Tasks int64 `json:"tasks"`
			} `json:"running"`
		}
		if err := r.decode(&data); err != nil {
			return 0, err
		}
		limit = data.Running.Tasks
	default:
		return 0, r.unknownSchema()
	}
	if limit < 0 || limit > maxLimit {
		return 0, invalidError(nil, "%s: limit %d must be 0 to %d tasks", r.ID(), limit, maxLimit)
	}
	return int(limit), nil
}

// Key returns the key of a key record.
func (r Record) Key() (key.Key, error) {
	var k key.Key
	if r.Schema != 1 {
		return k, r.unknownSchema()
	}
	if err := r.decode(&k); err != nil {
		return key.Key{}, err
	}
	if !ValidName(k.Team) {
		return key.Key{}, invalidError(nil, "%s: team %q is not a valid name", r.ID(), k.Team)
	}
	if k.Hash == "" || k.Salt == "" {
		return key.Key{}, invalidError(nil, "%s: the secret is missing", r.ID())
	}
	if k.MaxStaleMillis < 0 {
		return key.Key{}, invalidError(nil, "%s: maxStaleMillis %d is negative", r.ID(), k.MaxStaleMillis)
	}
	return k, nil
}

// Queue returns the data of a queue record.
func (r Record) Queue() (Queue, error) {
	var q Queue
	if err := r.decode(&q); err != nil {
		return Queue{}, err
	}
	if !ValidName(q.Team) {
		return Queue{}, invalidError(nil, "%s: team %q is not a valid name", r.ID(), q.Team)
	}
	return q, nil
}

// Host returns the data of a host record.
func (r Record) Host() (Host, error) {
	var h Host
	err := r.decode(&h)
	return h, err
}

// HashSecret replaces the secret in the data of a key record that an operator
// wrote by its salted hash. It returns other records unchanged.
func (r Record) HashSecret() (Record, error) {
	if r.Kind != KindKey || r.Schema != 1 {
		return r, nil
	}
	var data struct {
		Team           string `json:"team"`
		Secret         string `json:"secret"`
		MaxStaleMillis int64  `json:"maxStaleMillis"`
	}
	if err := r.decode(&data); err != nil {
		return Record{}, err
	}
	k, err := key.New(data.Team, data.Secret)
	if err != nil {
		return Record{}, invalidError(err, "%s", r.ID())
	}
	k.MaxStaleMillis = data.MaxStaleMillis
	r.Data, err = json.Marshal(k)
	if err != nil {
		return Record{}, invalidError(err, "%s", r.ID())
	}
	return r, nil
}

// decode decodes the record's data into out.
func (r Record) decode(out any) error {
	if len(r.Data) == 0 {
		return invalidError(nil, "%s has no data", r.ID())
	}
	if err := document.Decode(r.Data, out); err != nil {
		return invalidError(err, "%s", r.ID())
	}
	return nil
}

func (r Record) unknownSchema() error {
	return errors.Mark(errors.Newf("%s: schema version %d is unknown", r.ID(), r.Schema), ErrUnknownSchema)
}

// invalidError returns an error that matches ErrInvalid and wraps cause, if
// there is one.
func invalidError(cause error, format string, args ...any) error {
	if cause != nil {
		return errors.Mark(errors.Wrapf(cause, format, args...), ErrInvalid)
	}
	return errors.Mark(errors.Newf(format, args...), ErrInvalid)
}

// ParseID splits "kind/name" and checks both parts.
func ParseID(id string) (kind, name string, err error) {
	kind, name, ok := strings.Cut(id, "/")
	if !ok || newestSchema[kind] == 0 || !ValidName(name) {
		return "", "", invalidError(nil, `%q is not of the form "kind/name" with a kind of team, key, share, limit, queue or host`, id)
	}
	return kind, name, nil
}
